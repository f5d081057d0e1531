//! Limits of the state service: sizes of values and transactions, and changes per epoch.

use rustc_hash::FxHashSet;

use super::*;
use crate::autoscaler::MachineOffer;
use crate::wire::Change;

/// Creates a leader of term 3 under the current and, if given, the announced next limits of the store, each as
/// KiB per value and operations per transaction. The store holds records of an earlier version: full groups of
/// machines, and granted ranges as large as that version might write.
fn leader_with_store_limits(
    current: (f64, usize),
    next: Option<(f64, usize)>,
) -> (Controller, BTreeMap<String, KeyValue>) {
    let mut text = EXAMPLE
        .replacen("value_kb = 8.0", &format!("value_kb = {:.1}", current.0), 1)
        .replacen("txn_ops = 12", &format!("txn_ops = {}", current.1), 1)
        .replacen("cpus_max = 32.0", "cpus_max = 9000.0", 1);
    if let Some((value_kb, txn_ops)) = next {
        text += &format!("\n[params.state.next]\nvalue_kb = {value_kb:.1}\ntxn_ops = {txn_ops}\n");
    }
    let mut controller = Controller::new(Rc::new(Settings::parse(&text).unwrap()), INCARNATION);
    controller.set_machine_types(&wire::MachineTypes {
        machine_types: vec![machine_type("small", 8.0, 64.0)],
    });
    let leader = LeaderRecord { node: NodeId(0), incarnation: INCARNATION, term: Term(3) };
    let mut items: Vec<(String, wire::Value)> = vec![
        (replica::LEADER_KEY.into(), wire::to_value(&leader)),
        (replica::TERM_KEY.into(), wire::to_value(&TermRecord { term: Term(3) })),
        (
            replica::member_key(NodeId(0)),
            wire::to_value(&replica::MemberRecord {
                incarnation: INCARNATION,
                version: String::new(),
                capabilities: replica::CAPABILITIES,
            }),
        ),
    ];
    for id in 1..=600 {
        let accepted = Accepted { spec: spec(id, 3), at: WallTime(1) };
        items.push((replica::job_key(JobId(id)), wire::to_value(&accepted)));
    }
    for key in 0..16u64 {
        // Tasks of earlier jobs that may still run, more than fit into 2 KiB.
        let jobs = (1..=400).filter(|j| j % 16 == key);
        let disjoint: TaskRanges = [0, 2].into_iter().collect();
        let granted = jobs.map(|j| (JobId(j), disjoint.clone())).collect();
        let record = EpochRecord { term: Term(2), granted };
        items.push((replica::epoch_key(key as u32), wire::to_value(&record)));
    }
    let names: Vec<MachineId> = (24..48).map(|n| MachineId::new(&format!("n-{n:06}"))).collect();
    let ids: Vec<&str> = names.iter().map(|id| &*id.0).collect();
    let mut machines = group(&ids);
    for (_, machine) in &mut machines.machines {
        machine.endpoint = "10.255.255.255:65535".into();
    }
    items.push((replica::machine_key(1), wire::to_value(&machines)));
    let items: BTreeMap<String, KeyValue> = items
        .into_iter()
        .map(|(key, v)| (key.clone(), KeyValue { key, value: v, version: Revision(9) }))
        .collect();
    let all: Vec<KeyValue> = items.values().cloned().collect();
    controller.load(&all, Revision(9));
    controller.rights.lease = Some(StoreLease(1));
    controller
        .on_replica_changes(at(0), &ReplicaChanges { leader: true, ..ReplicaChanges::default() });
    (controller, items)
}

/// Returns views of the machines with these numbers, which are reconciled and have no tasks.
fn free_machines(ids: std::ops::Range<u32>) -> Vec<MachineView> {
    let view = |n| MachineView {
        endpoint: "10.255.255.255:65535".into(),
        ..view(&format!("n-{n:06}"), true, &[])
    };
    ids.map(view).collect()
}

/// Confirms the leader's rights and sends it a summary in which the machines with these numbers are free.
fn send_free_machines(
    controller: &mut Controller,
    ms: u64,
    seq: u64,
    machines: std::ops::Range<u32>,
) {
    controller.rights.confirm_renewal(MonotonicTime(ms));
    controller.rights.confirm_sync(MonotonicTime(ms));
    let summary = Summary {
        node: NodeId(0),
        seq,
        echoed_clock_ms: ms,
        applied_plan: controller.leader.as_ref().map_or(PlanSeq(0), |leader| leader.plans.seq),
        machines: free_machines(machines.clone()),
        answered: free_machines(machines).into_iter().map(|machine| (machine.id, 0)).collect(),
        ..summary(1, 0, INCARNATION)
    };
    controller.receive_summary(MonotonicTime(ms), summary);
}

#[test]
fn leader_writes_respect_current_and_next_limits_and_lose_nothing() {
    // Guards against writes beyond the store's limits: in a benchmark, after the limits had been lowered, every
    // epoch's write was answered with 400, and nothing was granted any more. The cases are the limits of the
    // deployments, and the smallest ones.
    let cases = [
        ((8.0, 32), None),
        ((8.0, 12), None),
        ((8.0, 32), Some((2.0, 10))),
        ((8.0, 12), Some((2.0, 4))),
        ((2.0, 4), Some((8.0, 12))),
        ((1.0, 2), None),
    ];
    for (current, next) in cases {
        let (mut controller, mut store) = leader_with_store_limits(current, next);
        let min_value_kb = next.map_or(current.0, |n| n.0.min(current.0));
        let min_txn_ops = next.map_or(current.1, |n| n.1.min(current.1));
        let granted_before = controller.replica.unfinished_granted_tasks();
        let provisioned: Vec<MachineId> = free_machines(48..72).into_iter().map(|m| m.id).collect();
        let offer = MachineOffer { machine_type: "small".into(), zone: "a".into(), spot: false };
        controller.with_leader(at(1_000), |l, cluster| {
            l.fleet.add_provisioned(cluster.now, &provisioned, &offer)
        });
        let mut revision = 9;
        let mut granted: FxHashSet<TaskId> = FxHashSet::default();
        for step in 0..400u64 {
            let ms = 1_200 + step * 450;
            send_free_machines(&mut controller, ms, step + 1, 24..72);
            let (epoch, term) = controller.epoch(at(ms)).unwrap();
            if let Some(txn) = epoch.txn.clone() {
                assert!(
                    txn.changes.len() <= min_txn_ops,
                    "{current:?} {next:?}: {} changes",
                    txn.changes.len()
                );
                assert!(txn.conditions.len() <= 4 * min_txn_ops);
                revision += 1;
                let conditions: BTreeMap<&str, Revision> =
                    txn.conditions.iter().map(|g| (g.key.as_str(), g.version)).collect();
                assert!(conditions.contains_key(replica::LEADER_KEY));
                for change in &txn.changes {
                    let wire::Change::Put { key, value, .. } = change else { continue };
                    // The condition keeps a write that is committed late, or twice, from restoring an older
                    // record. Without it, a machine and grants that a later write had added were lost (seed
                    // 1144 of the simulation at that time).
                    let stored_version = store.get(key).map_or(Revision(0), |i| i.version);
                    assert_eq!(conditions.get(key.as_str()), Some(&stored_version), "{key}");
                    let bytes = wire::stored_bytes(value);
                    assert!(
                        bytes as f64 <= min_value_kb * 1024.0,
                        "{current:?} {next:?}: {key} takes {bytes} bytes"
                    );
                    let version = Revision(revision);
                    let item = KeyValue { key: key.clone(), value: value.clone(), version };
                    store.insert(key.clone(), item);
                }
                controller.apply_committed(&txn, Revision(revision));
            }
            granted.extend(epoch.grants.iter().map(|new| new.task));
            controller.publish(at(ms), epoch, term);
            // The next leader has to know every machine and every task that may run.
            if step % 40 == 39 {
                let mut successor = Controller::new(controller.settings.clone(), Incarnation(6));
                let all: Vec<KeyValue> = store.values().cloned().collect();
                successor.load(&all, Revision(revision));
                let known_tasks = successor.replica.unfinished_granted_tasks();
                assert!(
                    granted_before.iter().chain(&granted).all(|t| known_tasks.contains(t)),
                    "{current:?} {next:?}"
                );
                assert_eq!(
                    successor.replica.machines, controller.replica.machines,
                    "{current:?} {next:?}"
                );
            }
        }
        assert_eq!(
            controller.replica.machines.len(),
            48,
            "{current:?} {next:?}: all machines are on record"
        );
        assert!(granted.len() > 90, "{current:?} {next:?}: {} grants", granted.len());
    }
}

#[test]
fn grants_of_many_jobs_are_recorded_with_few_changes() {
    // Guards against grants that take too many changes: in a benchmark with 50 changes a second for all
    // controllers, an epoch's grants were spread over 16 keys by job number, and each epoch waited for a second
    // until it could write them.
    const MAX_EPOCH_KEYS: usize = 2;
    let (earlier, items) = leader_with_store_limits((8.0, 24), None);
    let is_epoch_key = |key: &str| key.starts_with("e/");
    let items_without_epochs: Vec<KeyValue> =
        items.into_values().filter(|item| !is_epoch_key(&item.key)).collect();
    let mut controller = Controller::new(earlier.settings.clone(), INCARNATION);
    controller.set_machine_types(&wire::MachineTypes {
        machine_types: vec![machine_type("small", 8.0, 64.0)],
    });
    controller.load(&items_without_epochs, Revision(9));
    controller.rights.lease = Some(StoreLease(1));
    controller
        .on_replica_changes(at(0), &ReplicaChanges { leader: true, ..ReplicaChanges::default() });
    let mut granted = 0;
    for step in 0..6u64 {
        let ms = 1_200 + step * 450;
        send_free_machines(&mut controller, ms, step + 1, 24..48);
        let (epoch, term) = controller.epoch(at(ms)).unwrap();
        let jobs: FxHashSet<JobId> = epoch.grants.iter().map(|new| new.task.job).collect();
        let changes = epoch.txn.iter().flat_map(|t| &t.changes);
        let keys: Vec<&str> = changes.map(Change::key).filter(|key| is_epoch_key(key)).collect();
        assert!(keys.len() <= MAX_EPOCH_KEYS, "{} jobs in {keys:?}", jobs.len());
        granted += jobs.len();
        if let Some(txn) = epoch.txn.clone() {
            controller.apply_committed(&txn, Revision(10 + step));
        }
        controller.publish(at(ms), epoch, term);
    }
    assert!(granted > 20, "{granted} jobs");
}
