//! Links between a controller and the other processes, which a test can cut. While a link is cut, its packets are held,
//! and new connections get no response.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Interval at which a cut link checks whether the cut is over.
const CUT_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Size in bytes of the buffer for each direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// A link to one address.
pub struct Link {
    /// Address that leads to the target.
    pub addr: SocketAddr,
    is_cut: Rc<Cell<bool>>,
}

impl Link {
    /// Opens a link to `target` on a free port.
    pub async fn open(target: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("can bind a free port");
        let addr = listener.local_addr().expect("listener has a local address");
        let is_cut = Rc::new(Cell::new(false));
        let cut = is_cut.clone();
        spawn_local(async move {
            while let Ok((client, _)) = listener.accept().await {
                spawn_local(relay(client, target, cut.clone()));
            }
        });
        Link { addr, is_cut }
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.set(is_cut);
    }
}

/// Relays a connection in both directions until one side closes it.
async fn relay(client: TcpStream, target: SocketAddr, is_cut: Rc<Cell<bool>>) {
    let Ok(server) = TcpStream::connect(target).await else { return };
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    spawn_local(copy(client_reader, server_writer, is_cut.clone()));
    copy(server_reader, client_writer, is_cut).await;
}

/// Copies one direction of a connection. Returns when it ends; dropping the writer closes the other side.
async fn copy(
    mut reader: impl AsyncRead + Unpin,
    mut writer: impl AsyncWrite + Unpin,
    is_cut: Rc<Cell<bool>>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(read) = reader.read(&mut buffer).await {
        while is_cut.get() {
            sleep(CUT_CHECK_INTERVAL).await;
        }
        if read == 0 || writer.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
