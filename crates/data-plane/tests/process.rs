//! The data plane as a process: its command line, its signals, what it answers before it knows anything.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_fennelgauge-data-plane");
const PATIENCE: Duration = Duration::from_secs(20);

struct Started {
    process: Child,
    front: SocketAddr,
    settings: PathBuf,
}

impl Started {
    fn new(test: &str) -> Self {
        let free = || TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let (front, peer) = (free(), free());
        let settings =
            std::env::temp_dir().join(format!("fennelgauge-process-{test}-{}.toml", std::process::id()));
        let text = format!(
            "node = \"edge-1\"\nserves = [\"edge\"]\nip = \"127.0.0.1\"\nzone = \"z\"\n\
             port_range = [{}, {}]\nseeds = []\n[listen]\nfront = \"{front}\"\n[bounds]\ngrace_s = 3\n",
            peer.port() - 1,
            peer.port() + 3,
        );
        std::fs::write(&settings, text).expect("settings");
        let mut command = Command::new(PROGRAM);
        command.arg("run").env("FENNELGAUGE_BOOT", &settings).stderr(Stdio::null());
        let started = Self { process: command.spawn().expect("starts"), front, settings };
        let began = Instant::now();
        while TcpStream::connect(front).is_err() {
            assert!(began.elapsed() < PATIENCE, "it does not listen");
            std::thread::yield_now();
        }
        started
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.process.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }

    fn ask(&self) -> String {
        let mut stream = TcpStream::connect(self.front).expect("connected");
        let request = "POST /a/1 HTTP/1.1\r\nHost: h\r\nX-Fennelgauge-Request-Id: 1\r\nContent-Length: 2\r\n\
                       Connection: close\r\n\r\nhi";
        stream.write_all(request.as_bytes()).expect("written");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        answer.to_ascii_lowercase()
    }
}

impl Drop for Started {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

#[test]
fn before_the_first_configuration_it_refuses_with_a_time_to_come_back() {
    let started = Started::new("early");
    let answer = started.ask();
    assert!(answer.starts_with("http/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: 0.300"), "{answer}");
}

#[test]
fn a_hangup_ends_nothing_and_a_stop_answers_what_still_comes() {
    let mut started = Started::new("signals");
    started.signal("-HUP");
    assert!(started.ask().starts_with("http/1.1 503"));
    assert!(started.process.try_wait().expect("asked").is_none(), "a hangup ends nothing");
    started.signal("-TERM");
    let answer = started.ask();
    assert!(answer.starts_with("http/1.1 503") && answer.contains("connection: close"), "{answer}");
    assert!(started.process.wait().expect("ends").success());
}

/// What comes back for raw bytes until the connection ends.
fn raw(front: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(front).expect("connected");
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).to_ascii_lowercase()
}

#[test]
fn what_is_no_clear_request_is_refused_and_its_connection_closed() {
    let started = Started::new("unclear");
    let large = format!("GET /a HTTP/1.1\r\nHost: h\r\nX-Large: {}\r\n\r\n", "x".repeat(400_000));
    let cases: [(&str, &[u8]); 7] = [
        ("no HTTP", b"hello\r\n\r\n"),
        ("two lengths", b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc"),
        (
            "a length and chunks",
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
        ),
        ("no such coding", b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: zipped\r\n\r\nabc"),
        ("a length that is no number", b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: two\r\n\r\nab"),
        ("a wrong chunk", b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n"),
        ("too large a head", large.as_bytes()),
    ];
    for (name, bytes) in cases {
        let answer = raw(started.front, bytes);
        let answers = answer.matches("http/1.1 ").count();
        let refused = answer.is_empty() || answer.starts_with("http/1.1 4");
        assert!(refused && answers <= 1, "{name}: {answer}");
    }
    assert!(started.ask().starts_with("http/1.1 503"), "others are served on");
}

#[test]
fn a_head_that_does_not_end_is_not_waited_for() {
    let started = Started::new("slow");
    let began = Instant::now();
    let answer = raw(started.front, b"POST /a HTTP/1.1\r\nHost:");
    assert!(answer.is_empty() || answer.starts_with("http/1.1 408"), "{answer}");
    assert!(began.elapsed() < PATIENCE / 2);
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
fn the_command_line_tells_what_is_wrong_and_what_to_do() {
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
