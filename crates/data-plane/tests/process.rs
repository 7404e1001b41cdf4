//! Tests of the data plane's executable: command line, signals, malformed requests, and its responses before it has received
//! a configuration.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_fennelgauge-data-plane");
/// Time limit for anything that the process is expected to do.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A running data plane without a control plane; killed when dropped.
struct RunningDataPlane {
    process: Child,
    client_address: SocketAddr,
    settings_file: PathBuf,
}

impl RunningDataPlane {
    /// Starts the process and waits until it listens. `test` is part of the name of its settings file.
    fn start(test: &str) -> Self {
        let free_address = || TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let (client_address, peer_address) = (free_address(), free_address());
        let settings_file =
            std::env::temp_dir().join(format!("fennelgauge-process-{test}-{}.toml", std::process::id()));
        let text = format!(
            "node = \"edge-1\"\nserves = [\"edge\"]\nip = \"127.0.0.1\"\nzone = \"z\"\n\
             port_range = [{}, {}]\nseeds = []\n[listen]\nfront = \"{client_address}\"\n[bounds]\ngrace_s = 3\n",
            peer_address.port() - 1,
            peer_address.port() + 3,
        );
        std::fs::write(&settings_file, text).expect("settings");
        let mut command = Command::new(PROGRAM);
        command.arg("run").env("FENNELGAUGE_BOOT", &settings_file).stderr(Stdio::null());
        let running = Self { process: command.spawn().expect("starts"), client_address, settings_file };
        let started_at = Instant::now();
        while TcpStream::connect(client_address).is_err() {
            assert!(started_at.elapsed() < TIMEOUT, "the process does not listen");
            std::thread::yield_now();
        }
        running
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.process.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Sends a complete request and returns the response in lower case.
    fn request(&self) -> String {
        let mut stream = TcpStream::connect(self.client_address).expect("connected");
        let request = "POST /a/1 HTTP/1.1\r\nHost: h\r\nX-Fennelgauge-Request-Id: 1\r\nContent-Length: 2\r\n\
                       Connection: close\r\n\r\nhi";
        stream.write_all(request.as_bytes()).expect("written");
        let mut response = String::new();
        stream.read_to_string(&mut response).expect("a response");
        response.to_ascii_lowercase()
    }
}

impl Drop for RunningDataPlane {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings_file);
    }
}

#[test]
fn requests_before_the_first_configuration_are_refused_with_retry_after() {
    let running = RunningDataPlane::start("early");
    let response = running.request();
    assert!(response.starts_with("http/1.1 503"), "{response}");
    assert!(response.contains("retry-after: 0.300"), "{response}");
}

#[test]
fn sighup_is_ignored_and_requests_after_sigterm_are_still_answered() {
    let mut running = RunningDataPlane::start("signals");
    running.signal("-HUP");
    assert!(running.request().starts_with("http/1.1 503"));
    assert!(running.process.try_wait().expect("a status").is_none(), "SIGHUP does not end the process");
    running.signal("-TERM");
    let response = running.request();
    assert!(response.starts_with("http/1.1 503") && response.contains("connection: close"), "{response}");
    assert!(running.process.wait().expect("ends").success());
}

/// Sends raw bytes and returns all that is received until the connection is closed, in lower case.
fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    let _ = stream.write_all(bytes);
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    String::from_utf8_lossy(&received).to_ascii_lowercase()
}

/// A malformed or ambiguous request gets at most one response, an error, and its connection is closed. Otherwise a client
/// could smuggle a second request past the first.
#[test]
fn malformed_requests_are_rejected_and_their_connections_closed() {
    let running = RunningDataPlane::start("unclear");
    let large_head = format!("GET /a HTTP/1.1\r\nHost: h\r\nX-Large: {}\r\n\r\n", "x".repeat(400_000));
    let cases: [(&str, &[u8]); 7] = [
        ("not HTTP", b"hello\r\n\r\n"),
        ("two lengths", b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc"),
        (
            "both a length and chunks",
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
        ),
        ("unknown transfer coding", b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: zipped\r\n\r\nabc"),
        ("a length that is not a number", b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: two\r\n\r\nab"),
        ("a malformed chunk size", b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n"),
        ("a head beyond the size limit", large_head.as_bytes()),
    ];
    for (name, bytes) in cases {
        let received = exchange(running.client_address, bytes);
        let responses = received.matches("http/1.1 ").count();
        let rejected = received.is_empty() || received.starts_with("http/1.1 4");
        assert!(rejected && responses <= 1, "{name}: {received}");
    }
    assert!(running.request().starts_with("http/1.1 503"), "other connections are still served");
}

#[test]
fn incomplete_request_head_times_out() {
    let running = RunningDataPlane::start("slow");
    let sent_at = Instant::now();
    let received = exchange(running.client_address, b"POST /a HTTP/1.1\r\nHost:");
    assert!(received.is_empty() || received.starts_with("http/1.1 408"), "{received}");
    assert!(sent_at.elapsed() < TIMEOUT / 2);
}

fn run(arguments: &[&str], settings: Option<&str>) -> Output {
    let mut command = Command::new(PROGRAM);
    command.args(arguments).env_remove("FENNELGAUGE_BOOT");
    if let Some(settings) = settings {
        command.env("FENNELGAUGE_BOOT", settings);
    }
    command.output().expect("runs")
}

#[test]
fn command_line_errors_name_the_fault_and_the_remedy() {
    type Case = (&'static str, &'static [&'static str], Option<&'static str>, i32, &'static str);
    let cases: [Case; 6] = [
        ("help", &["--help"], None, 0, "check-settings"),
        ("version", &["--version"], None, 0, "fennelgauge-data-plane"),
        ("no settings", &["run"], None, 2, "FENNELGAUGE_BOOT is not set"),
        ("no such file", &["run"], Some("/nonexistent/boot.toml"), 2, "/nonexistent/boot.toml"),
        ("no such command", &["fly"], None, 2, "see --help"),
        ("no file named", &["check-settings"], None, 2, "fennelgauge-data-plane"),
    ];
    for (name, arguments, settings, code, text) in cases {
        let output = run(arguments, settings);
        let printed = [output.stdout, output.stderr].concat();
        let printed = String::from_utf8_lossy(&printed);
        assert_eq!(output.status.code(), Some(code), "{name}: {printed}");
        assert!(printed.contains(text), "{name}: {printed}");
    }
}
