//! Tables of cases for the leader's decisions.

use super::*;
use crate::config::tests::EXAMPLE;
use crate::core::{Core, Moment};
use crate::ledger::tests::group;
use crate::ledger::{self, Accepted, Brought, EpochRecord, LeadRecord, TermRecord};
use crate::model::{Incarnation, Revision, Session, StoreLease};
use crate::peer::{MachineView, TaskView};
use crate::place::tests::flavor;
use crate::wire::Item;
use crate::wire::tests::spec;
use std::rc::Rc;

const LIFE: Incarnation = Incarnation(5);

fn at(ms: u64) -> Moment {
    Moment { steady: Steady(ms), wall: Wall(1_000_000 + ms) }
}

/// A leader of term 3 with a job of one task that term 2 granted, and two machines.
fn leader() -> Core {
    let settings = Settings::parse(EXAMPLE).unwrap();
    let mut core = Core::new(Rc::new(settings), LIFE);
    let small = flavor("small", 8.0, 64.0);
    core.set_flavors(&wire::Flavors { hulls: vec![small] });
    let job = JobId(1);
    let record = EpochRecord { term: Term(2), granted: vec![(job, Ranges::span(0, 1))] };
    let lead = LeadRecord { node: NodeId(0), life: LIFE, term: Term(3) };
    let group = group(&["n-1", "n-2"]);
    let item = |path: &str, v| Item { path: path.into(), v, stamp: Revision(9) };
    let accepted = Accepted { spec: spec(1, 1), at: Wall(1) };
    core.load(
        &[
            item(&ledger::job_key(job), wire::to_value(&accepted)),
            item(&ledger::epoch_key(0), wire::to_value(&record)),
            item(ledger::LEAD_KEY, wire::to_value(&lead)),
            item(ledger::TERM_KEY, wire::to_value(&TermRecord { term: Term(3) })),
            item(&ledger::machine_key(0), wire::to_value(&group)),
        ],
        Revision(9),
    );
    core.rights.lease = Some(StoreLease(1));
    core.rights.confirm_renewal(Steady(0));
    core.rights.confirm_sync(Steady(0));
    core.follow(at(0), &Brought { lead: true, ..Brought::default() });
    core
}

fn view(id: &str, settled: bool, tasks: &[u32]) -> MachineView {
    MachineView {
        id: MachineId::new(id),
        hull: "small".into(),
        zone: "a".into(),
        spot: false,
        endpoint: "10.1.0.1:9000".into(),
        session: Session(1),
        settled,
        leaving: false,
        shun_ms: 0,
        tasks: tasks
            .iter()
            .map(|index| TaskView {
                task: TaskId { job: JobId(1), index: *index },
                stage: PieceStage::Running,
            })
            .collect(),
        images: vec![],
    }
}

/// Tells the leader what the only controller knows and plays an epoch; says whether it
/// grants anything.
fn tell(core: &mut Core, ms: u64, followed: u64, machines: Vec<MachineView>) -> bool {
    let summary = Summary {
        node: NodeId(0),
        life: LIFE,
        number: ms,
        base: 0,
        more: false,
        term: Term(3),
        followed: PlanSeq(followed),
        echo_ms: 0,
        up_ms: ms,
        served_ms: 0,
        heard_ms: 0,
        answered: machines.iter().map(|m| (m.id.clone(), 0)).collect(),
        machines,
        strays: vec![],
        failing: vec![],
        reborn: vec![],
        finished: vec![],
        notices: vec![],
    };
    core.take_summary(Steady(ms), summary);
    let (epoch, term) = core.epoch(at(ms)).unwrap();
    let grants = !epoch.is_empty();
    core.publish(at(ms), epoch, term);
    grants
}

#[test]
fn what_an_owner_remembers_from_an_earlier_term_proves_nothing() {
    // Seen on a bench day: a takeover, a summary from before the first plan with the task
    // on n-1, then one in which the owner had forgotten that machine. The task was
    // started on n-2 while it ran on n-1.
    let mut core = leader();
    let both = |tasks| vec![view("n-1", true, tasks), view("n-2", true, &[])];
    assert!(!tell(&mut core, 1_100, 0, vec![]), "owners are assigned");
    assert!(!tell(&mut core, 1_300, 0, both(&[0])), "remembered from before");
    assert!(!tell(&mut core, 1_500, 1, vec![view("n-2", true, &[])]), "n-1 is not told of");
    assert!(!tell(&mut core, 1_700, 1, both(&[0])), "it runs");
    assert!(tell(&mut core, 1_900, 1, both(&[])), "n-1 says itself that it is not there");
}

fn summary(number: u64, base: u64, life: Incarnation) -> Summary {
    Summary {
        node: NodeId(1),
        life,
        number,
        base,
        more: false,
        term: Term(3),
        followed: PlanSeq(0),
        echo_ms: 0,
        up_ms: 0,
        served_ms: 0,
        heard_ms: 0,
        answered: vec![],
        machines: vec![view("n-1", true, &[])],
        strays: vec![],
        failing: vec![],
        reborn: vec![],
        finished: vec![],
        notices: vec![],
    }
}

#[test]
fn machines_that_run_slow_are_told_from_odd_tasks() {
    let cases: [(&[f64], bool); 5] = [
        (&[1.0; 9], false),
        (&[5.0, 1.0, 1.0, 1.0], false),
        (&[3.0, 3.0, 3.0], false),
        (&[3.0, 3.0, 3.0, 3.0], true),
        (&[3.0, 3.0, 3.0, 3.0, 1.0, 1.0, 1.0, 1.0], false),
    ];
    for (ratios, want) in cases {
        let mut speed = Speed::default();
        ratios.iter().for_each(|r| speed.note(*r));
        assert_eq!(speed.is_slow(), want, "{ratios:?}");
    }
}

#[test]
fn a_silent_machines_tasks_are_over_with_its_lease_and_not_before() {
    // Whole zones were returned a moment before their cut ended, though the run-out of
    // their leases had proven all that was needed.
    let mut core = leader();
    let tells = |core: &mut Core, ms: u64, alive: bool, session: u64| {
        core.rights.confirm_renewal(Steady(ms));
        core.rights.confirm_sync(Steady(ms));
        let mut n1 = view("n-1", true, if session == 1 { &[0] } else { &[] });
        n1.session = Session(session);
        let mut s = Summary {
            node: NodeId(0),
            number: ms,
            followed: PlanSeq(1),
            echo_ms: ms,
            up_ms: ms,
            machines: vec![n1, view("n-2", true, &[])],
            ..summary(ms, 0, LIFE)
        };
        s.answered = vec![(MachineId::new("n-2"), 0)];
        if alive {
            s.answered.push((MachineId::new("n-1"), 0));
        }
        core.take_summary(Steady(ms), s);
        let (epoch, term) = core.epoch(at(ms)).unwrap();
        core.publish(at(ms), epoch, term);
        let lead = core.lead.as_ref().unwrap();
        let task = TaskId { job: JobId(1), index: 0 };
        (lead.fleet.on_machines().contains_key(&task), lead.fleet.lapsed.len())
    };
    tells(&mut core, 1_100, true, 1);
    assert_eq!(tells(&mut core, 30_000, true, 1), (true, 0));
    assert_eq!(tells(&mut core, 38_000, false, 1), (true, 0), "its lease may still run");
    assert_eq!(tells(&mut core, 42_000, false, 1), (false, 1));
    let plan = core.plan_for(NodeId(0), Steady(42_000)).unwrap().0;
    let told = plan.body.map(|b| b.lapsed);
    assert_eq!(told, Some(vec![(MachineId::new("n-1"), Session(1))]), "its part is told");
    assert_eq!(tells(&mut core, 43_000, false, 1), (false, 1), "remembered from before");
    tells(&mut core, 44_000, true, 2);
    assert!(core.lead.as_ref().unwrap().fleet.views().any(|m| &*m.id.0 == "n-1"), "back");
}

#[test]
fn a_machine_on_record_that_never_reports_is_returned() {
    // Seen on a bench day: the last leader returned machines and could not record it any
    // more; the next one took them for booting, and counted on them for minutes.
    let mut core = leader();
    let alive = || vec![view("n-2", true, &[])];
    let returned = |core: &mut Core, ms| {
        core.rights.confirm_renewal(Steady(ms));
        tell(core, ms, 1, alive());
        core.with_lead(at(ms), |lead, ctx| lead.fleet.to_return(ctx)).unwrap()
    };
    assert!(returned(&mut core, 1_100).is_empty());
    assert!(returned(&mut core, 9_000).is_empty(), "its lease may still run");
    assert_eq!(returned(&mut core, 12_500), [MachineId::new("n-1")]);
}

#[test]
fn what_is_known_stays_until_all_pieces_of_a_summary_are_there() {
    // Seen on a simulated day with 1,800 machines: the first piece replaced what was known, a task
    // that an earlier term had started was on no machine for a moment, and started again.
    let mut core = leader();
    let all = |tasks| vec![view("n-1", true, tasks), view("n-2", true, &[])];
    tell(&mut core, 1_100, 0, all(&[]));
    assert!(!tell(&mut core, 1_200, 1, all(&[0])), "it runs on n-1");
    // (number, base, whether more comes, machines)
    let pieces = [
        (1_300, 0, true, vec![view("n-2", true, &[])]),
        (1_400, 0, true, vec![view("n-2", true, &[])]),
        (1_500, 1_400, true, vec![]),
        (1_600, 1_500, false, vec![view("n-1", true, &[0])]),
    ];
    for (number, base, more, machines) in pieces {
        let piece = Summary {
            node: NodeId(0),
            number,
            base,
            more,
            machines,
            followed: PlanSeq(1),
            ..summary(1, 0, LIFE)
        };
        core.take_summary(Steady(number), piece);
        let (epoch, _) = core.epoch(at(number)).unwrap();
        assert!(epoch.is_empty(), "{number}");
        let lead = core.lead.as_ref().unwrap();
        assert_eq!(lead.fleet.on_machines().len(), 1, "{number}");
    }
}

#[test]
fn silence_from_before_the_term_counts_once_every_node_has_told() {
    // Seen on a bench day: machines that had been dead for a lease counted as possibly alive for
    // another one in every new term. (what, milliseconds for which a node has been up, when it
    // last answered n-1, whether all is proven over right after the term began)
    let cases = [
        ("nobody answered it within memory", 200_000, None, true),
        ("it was answered longer than a lease ago", 200_000, Some(11_000), true),
        ("its lease may still run", 200_000, Some(9_000), false),
        ("a predecessor may have answered it", 9_000, None, false),
        ("no predecessor's answer is that young", 12_000, None, true),
    ];
    for (what, up_ms, answered, over) in cases {
        let mut core = leader();
        let now = Steady(300_000);
        core.rights.confirm_renewal(now);
        core.rights.confirm_sync(now);
        for node in 0..3 {
            let age = answered.filter(|_| node == 1).map(|ms| (MachineId::new("n-1"), ms));
            let told = Summary {
                node: NodeId(node),
                echo_ms: now.0,
                up_ms: if node == 2 { up_ms } else { 200_000 },
                answered: age.into_iter().collect(),
                machines: vec![],
                ..summary(1, 0, LIFE)
            };
            core.take_summary(now, told);
            let lead = core.lead.as_ref().unwrap();
            assert_eq!(lead.fleet.unsettled.len(), 2, "{what}: not before all have told");
        }
        core.epoch(at(now.0)).unwrap();
        let left = &core.lead.as_ref().unwrap().fleet.unsettled;
        assert_eq!(left.contains(&MachineId::new("n-1")), !over, "{what}");
    }
}

#[test]
fn a_machine_that_later_lists_lack_is_returned_once_it_is_silent() {
    let host = |id: &str| wire::ListedHost {
        r#ref: MachineId::new(id),
        endpoint: None,
        hull: "small".into(),
        yard: "a".into(),
        loaners: false,
        stage: wire::HostStage::Running,
        held_s: 50.0,
    };
    // The list lags by 6 s. (when the second list came, its first name, whether it is cut off
    // after n-1, when the answer is wanted, whether n-2 is returned then)
    let cases = [
        (9_000, None, false, 9_100, false),
        (15_000, None, false, 15_100, true),
        (15_000, None, true, 15_100, false),
        (15_000, Some("n-2"), false, 15_100, false),
    ];
    for (second, after, truncated, when, returned) in cases {
        let mut core = leader();
        let list = |core: &mut Core, ms, names: &[&str], after: Option<&str>, truncated| {
            let page = wire::HostList { hosts: names.iter().map(|n| host(n)).collect(), truncated };
            let after = after.map(MachineId::new);
            core.with_lead(at(ms), |l, ctx| l.fleet.listed_page(ctx, after.as_ref(), &page));
        };
        core.rights.confirm_renewal(Steady(1_000));
        tell(&mut core, 1_000, 0, vec![view("n-1", true, &[])]);
        list(&mut core, 500, &["n-1", "n-2"], None, false);
        list(&mut core, second, &["n-1"], after, truncated);
        core.rights.confirm_renewal(Steady(when));
        core.lead.as_mut().unwrap().limbo.clear();
        tell(&mut core, when, 0, vec![view("n-1", true, &[])]);
        let gone = core.with_lead(at(when), |l, ctx| {
            let n2 = MachineId::new("n-2");
            l.fleet.machines[&n2].missing && l.fleet.to_return(ctx).contains(&n2)
        });
        assert_eq!(gone, Some(returned), "{second} {after:?} {truncated}");
    }
}

#[test]
fn summaries_add_to_one_that_was_taken_or_are_asked_for_whole() {
    // What a missed summary told could be a task on a machine, or an answer to a worker.
    let other = Incarnation(8);
    let mut core = leader();
    let mut take = |s| core.take_summary(Steady(1_000), s).0;
    assert!(matches!(take(summary(4, 3, LIFE)), Tell::SendWhole), "nothing is known yet");
    assert!(!matches!(take(summary(5, 0, LIFE)), Tell::SendWhole));
    assert!(!matches!(take(summary(6, 5, LIFE)), Tell::SendWhole));
    assert!(matches!(take(summary(9, 8, LIFE)), Tell::SendWhole), "7 and 8 are missing");
    let late = Summary { machines: vec![], ..summary(5, 0, LIFE) };
    take(late);
    let told = |core: &Core| core.lead.as_ref().map(|l| l.fleet.nodes[&NodeId(1)].number);
    assert_eq!(told(&core), Some(6), "a late one changes nothing");
    core.take_summary(Steady(1_100), summary(1, 0, other));
    let lead = core.lead.as_ref().unwrap();
    assert!(lead.renew_term.is_some(), "a new life needs a new term");
    assert_eq!(told(&core), Some(6));
}

#[test]
fn what_is_on_record_ahead_is_in_limbo_for_others_only() {
    let mut core = leader();
    let accepted = Accepted { spec: spec(2, 20), at: Wall(1) };
    let item = |path: String, v| Item { path, v, stamp: Revision(10) };
    let mut brought = Brought::default();
    let job = item(ledger::job_key(JobId(2)), wire::to_value(&accepted));
    core.ledger.load(&job, &mut brought);
    let idle = || vec![view("n-1", true, &[0]), view("n-2", true, &[])];
    tell(&mut core, 1_100, 0, vec![]);
    tell(&mut core, 1_300, 1, idle());
    let summary = core.lead.as_ref().unwrap();
    let granted: Vec<TaskId> = summary.granted.keys().copied().collect();
    assert!(!granted.is_empty() && granted.len() < 4, "{granted:?}");
    let recorded = summary.recorded[&JobId(2)].clone();
    assert!(recorded.len() as usize > granted.len(), "some are ahead");
    // The record as the store has it, and the next term of the same leader.
    let record = EpochRecord { term: Term(3), granted: vec![(JobId(2), recorded.clone())] };
    let items = [
        item(ledger::epoch_key(2), wire::to_value(&record)),
        item(
            ledger::LEAD_KEY.into(),
            wire::to_value(&LeadRecord { node: NodeId(0), life: LIFE, term: Term(4) }),
        ),
        item(ledger::TERM_KEY.into(), wire::to_value(&TermRecord { term: Term(4) })),
    ];
    items.iter().for_each(|i| core.ledger.load(i, &mut brought));
    let all = core.ledger.granted_before();
    core.follow(at(2_000), &Brought { lead: true, ..Brought::default() });
    let limbo = &core.lead.as_ref().unwrap().limbo;
    let of_two = |t: &&TaskId| t.job == JobId(2);
    assert_eq!(limbo.iter().filter(of_two).count(), granted.len());
    assert!(granted.iter().all(|t| limbo.contains(t)));
    assert_eq!(all.iter().filter(of_two).count(), recorded.len() as usize, "others");
}

#[test]
fn nobody_waits_without_bound() {
    // (age in s, tasks done, held, starved); a job due after 100 s.
    let cases = [(99, 0, 0, false), (101, 0, 0, true), (101, 1, 0, false), (101, 0, 1, false)];
    let mut core = leader();
    for (age_s, done, held, want) in cases {
        let moment = Moment { steady: Steady(1), wall: Wall(1 + age_s * 1_000) };
        if let Some(job) = core.ledger.jobs.get_mut(&JobId(1)) {
            job.progress.done = Ranges::span(0, done);
        }
        let got = core.with_lead(moment, |_, ctx| starved(ctx, &ctx.ledger.jobs[&JobId(1)], held));
        assert_eq!(got, Some(want), "{age_s} {done} {held}");
    }
    // Within a rank, age wins in the end over work that is still in time.
    let weigh = |core: &mut Core, age_s: u64| {
        let moment = Moment { steady: Steady(1), wall: Wall(1 + age_s * 1_000) };
        let due = |ctx: &Context<'_>| {
            let mut job = ctx.ledger.jobs[&JobId(1)].clone();
            job.spec.due_s = Some(100.0);
            weight(ctx, &job, 10.0, false)
        };
        core.with_lead(moment, |_, ctx| due(ctx)).unwrap()
    };
    let fresh = weigh(&mut core, 1);
    assert!(weigh(&mut core, 120) < fresh, "what is late waits for what is not");
    assert!(weigh(&mut core, 600) > fresh, "but not for ever");
}

#[test]
fn an_unsettled_machine_proves_nothing_about_its_tasks() {
    // A late copy may show a task where it is no longer, and another one not show it.
    let mut core = leader();
    let seen = |tasks| vec![view("n-1", false, tasks), view("n-2", true, &[])];
    assert!(!tell(&mut core, 1_100, 0, vec![]));
    assert!(!tell(&mut core, 1_300, 1, seen(&[0])));
    assert!(!tell(&mut core, 1_500, 1, seen(&[])));
}

#[test]
fn a_task_in_limbo_waits_for_every_machine_that_may_have_it() {
    let mut core = leader();
    let seen = |settled| vec![view("n-1", settled, &[]), view("n-2", true, &[])];
    assert!(!tell(&mut core, 1_100, 0, vec![]));
    assert!(!tell(&mut core, 1_300, 1, seen(false)), "n-1 may still take older orders");
    assert!(tell(&mut core, 1_500, 1, seen(true)));
}
