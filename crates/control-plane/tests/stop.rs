//! A control plane that is stopped while an operator reads a large configuration slowly.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

const PROGRAM: &str = env!("CARGO_BIN_EXE_fennelgauge-control-plane");
/// Time limit for anything that the process is expected to do.
const TIMEOUT: Duration = Duration::from_secs(40);
/// Tenants of the configuration, which make it larger than what the sockets take.
const TENANTS: usize = 60_000;
/// Receive buffer and largest segment of the slow client, in bytes: what it has not read stays at the process.
const RECEIVE_BUFFER: usize = 8 << 10;
const MAX_SEGMENT_BYTES: u32 = 1_400;
/// What the client has read when the process gets its signal.
const READ_BEFORE_STOP: usize = 200_000;

/// A core of one machine; killed when dropped.
struct RunningCore {
    process: Child,
    control_address: SocketAddr,
    directory: PathBuf,
}

impl RunningCore {
    fn start() -> Self {
        let free_address =
            || TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("its address");
        let (control_address, peer_port) = (free_address(), free_address().port());
        let directory = std::env::temp_dir().join(format!("fennelgauge-stop-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&directory);
        std::fs::create_dir_all(&directory).expect("a directory");
        let text = format!(
            "node = \"core-0\"\nserves = [\"control_plane\"]\nip = \"127.0.0.1\"\nzone = \"z\"\nregion = \"r\"\n\
             port_range = [{peer_port}, {}]\nseeds = [\"{control_address}\"]\nbootstrap = true\n\
             counts_for_quorum = true\ndata_dir = {:?}\n[listen]\ncontrol = \"{control_address}\"\n\
             [tolerate]\nmachines = 0\n",
            peer_port + 4,
            directory.join("data"),
        );
        let settings_file = directory.join("settings.toml");
        std::fs::write(&settings_file, text).expect("settings");
        let mut command = Command::new(PROGRAM);
        command.arg("run").env("FENNELGAUGE_BOOT", &settings_file).stderr(Stdio::null());
        Self { process: command.spawn().expect("starts"), control_address, directory }
    }

    /// Sends a request on a connection of its own and returns the response.
    fn exchange(&self, request: &[u8]) -> Vec<u8> {
        let Ok(mut stream) = TcpStream::connect(self.control_address) else { return Vec::new() };
        let mut response = Vec::new();
        let _ = stream.write_all(request).and_then(|()| stream.read_to_end(&mut response));
        response
    }

    /// Repeats a request until its response is successful.
    fn exchange_until_successful(&self, request: &[u8]) -> Vec<u8> {
        let started_at = Instant::now();
        loop {
            let response = self.exchange(request);
            if response.starts_with(b"HTTP/1.1 200") {
                return response;
            }
            let shown = String::from_utf8_lossy(&response[..response.len().min(300)]).into_owned();
            assert!(started_at.elapsed() < TIMEOUT, "{shown}");
            sleep(Duration::from_millis(100));
        }
    }
}

impl Drop for RunningCore {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn slow_client(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER).expect("a buffer size");
    socket.set_tcp_mss(MAX_SEGMENT_BYTES).expect("a segment size");
    socket.connect(&address.into()).expect("connected");
    socket.into()
}

fn configuration() -> String {
    let tenant = |number: usize| {
        format!(r#"{{"name":"t-{number}","api_keys":["key-of-the-tenant-{number}"],"priority":1}}"#)
    };
    let tenants: Vec<String> = (0..TENANTS).map(tenant).collect();
    format!(r#"{{"generation":1,"routes":[],"services":[],"tenants":[{}]}}"#, tenants.join(","))
}

/// Guards against a configuration that arrives cut, because the process ends at the signal although the response is not all
/// written.
#[test]
fn configuration_that_is_read_slowly_through_a_stop_arrives_whole() {
    let mut core = RunningCore::start();
    let body = configuration();
    let length = body.len();
    let put = format!(
        "POST /-/Config.Put HTTP/1.1\r\nHost: h\r\nX-Fennelgauge-Base-Version: 0\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n{body}"
    );
    core.exchange_until_successful(put.as_bytes());
    let get = b"GET /-/Config.Get HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    let whole = core.exchange_until_successful(get);

    let mut client = slow_client(core.control_address);
    client.write_all(get).expect("sent");
    let (mut received, mut piece) = (Vec::new(), vec![0; 32 << 10]);
    while received.len() < READ_BEFORE_STOP {
        let bytes = client.read(&mut piece).expect("read");
        assert!(bytes > 0, "the response ends after {} bytes", received.len());
        received.extend_from_slice(&piece[..bytes]);
    }
    let signalled = Command::new("kill").args(["-TERM", &core.process.id().to_string()]).status();
    assert!(signalled.expect("kill runs").success());
    sleep(Duration::from_millis(500));
    let _ = client.read_to_end(&mut received);
    assert_eq!(received.len(), whole.len(), "bytes of the response");
    assert!(core.process.wait().expect("it ends").success());
}
