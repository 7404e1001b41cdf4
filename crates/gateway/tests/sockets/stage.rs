//! The program with its surroundings, as the tests play them.

use rustix::net::{AddressFamily, SocketType};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

pub const PATIENT: &str = "15000";

pub struct Stage {
    pub child: Child,
    pub at: SocketAddr,
    pub servers: Vec<TcpListener>,
    pub counter: TcpListener,
    pub agent: TcpListener,
    /// What the program has logged, and who reads it.
    said: Arc<(Mutex<String>, Condvar)>,
    reader: Option<JoinHandle<()>>,
    pub configuration: PathBuf,
}

/// One end of a connection, as the test plays it.
pub struct End(pub BufReader<TcpStream>);

/// Waits for a condition; false if it never came.
pub fn comes(mut holds: impl FnMut() -> bool) -> bool {
    (0..2_000).any(|_| {
        let held = holds();
        if !held {
            std::thread::sleep(Duration::from_millis(10));
        }
        held
    })
}

pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// What a program just begun says, until it has started or ended.
pub fn heard(child: &mut Child) -> (BufReader<ChildStdout>, String) {
    let (mut output, mut said) = (BufReader::new(child.stdout.take().unwrap()), String::new());
    while !said.contains("started") && output.read_line(&mut said).unwrap() > 0 {}
    (output, said)
}

/// Where it listens, once it has said that it started.
pub fn address(said: &str) -> SocketAddr {
    let (_, at) = said.rsplit_once("listen=").unwrap_or_else(|| panic!("it ended before it started: {said}"));
    at.trim().parse().unwrap()
}

pub fn signal(child: &Child, name: &str) {
    let pid = child.id().to_string();
    assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
}

/// One that refuses connections until it is listened at; nobody else can have its port meanwhile.
pub fn unheard() -> TcpListener {
    let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    rustix::net::bind(&socket, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    TcpListener::from(socket)
}

/// The next connection, if one comes.
pub fn accept(listener: &TcpListener) -> End {
    listener.set_nonblocking(true).unwrap();
    let mut accepted = None;
    comes(|| {
        accepted = listener.accept().ok();
        accepted.is_some()
    });
    listener.set_nonblocking(false).unwrap();
    let stream = accepted.expect("no connection came").0;
    stream.set_nonblocking(false).unwrap();
    End::new(stream)
}

pub fn host(number: usize, dial: SocketAddr, health: &str) -> String {
    format!(
        r#"{{"host":"s-{number}","dial":"{dial}","site":"east","class":"m","block":{number},"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

impl Stage {
    pub fn start(servers: usize, sockets: usize) -> Self {
        Self::with(servers, sockets, |text| text)
    }

    /// With a configuration changed by `change`.
    pub fn with(servers: usize, sockets: usize, change: impl FnOnce(String) -> String) -> Self {
        Self::operated(servers, sockets, change, "")
    }

    /// And with what the operator's file says, if that is anything.
    pub fn operated(
        servers: usize,
        sockets: usize,
        change: impl FnOnce(String) -> String,
        operator: &str,
    ) -> Self {
        let servers: Vec<TcpListener> = (0..servers).map(|_| listener()).collect();
        let (counter, agent) = (listener(), listener());
        let hosts = servers.iter().enumerate();
        let hosts: Vec<String> =
            hosts.map(|(i, it)| host(i, it.local_addr().unwrap(), "in_service")).collect();
        let text = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{}","counter":"{}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},
            "known":{{"seq":41,"whole":true,"hosts":[{}]}},
            "settings":{{"balancers":1,"self_index":0,"tick":1000,"discovery":"automatic","zones":["east"],
            "services":[{{"name":"soon","aim":400000,"points":1.0,"semantics":"non_idempotent"}},
                {{"name":"calm","aim":4000000,"points":1.0,"semantics":"non_idempotent"}},
                {{"name":"look","aim":12000000,"points":1.0,"semantics":"read_like"}},
                {{"name":"book","aim":12000000,"points":1.0,"semantics":"non_idempotent"}},
                {{"name":"post","aim":12000000,"points":1.0,"semantics":"idempotency_key","group":"all",
                  "repeat_window":60000000}}],
            "tariffs":[{{"name":"open","price":1.0}},
                {{"name":"team","price":1.0,"refill":1000.0,"store_size":1000.0}}],
            "extra":{{"has_counter":true,"counter_timeout":200000,"max_units":6}},
            "caps":{{"attempts_cap":2,"may_cancel":true,"conn_idle":60000000,"connect_timeout":5000000,
                "retry_after":true,"max_retry_after":2000000}}}}}}"#,
            agent.local_addr().unwrap(),
            counter.local_addr().unwrap(),
            hosts.join(",")
        );
        let port = agent.local_addr().unwrap().port();
        let configuration = std::env::temp_dir().join(format!("gateway-{}-{port}", std::process::id()));
        std::fs::write(&configuration, change(text)).unwrap();
        let file = configuration.with_extension("toml");
        std::fs::write(&file, operator).unwrap();
        let arguments = if operator.is_empty() { "" } else { "--operator \"$1\"" };
        // As many descriptors as it is told of, so that a further one is refused by the system itself.
        let mut child = Command::new("sh")
            .args([
                "-c",
                &format!("ulimit -n {sockets}; exec \"$0\" {arguments}"),
                env!("CARGO_BIN_EXE_fennelgauge-gateway"),
            ])
            .arg(&file)
            .env("BALANCER_CONFIG", &configuration)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let (output, line) = heard(&mut child);
        let at = address(&line);
        let said = Arc::new((Mutex::new(String::new()), Condvar::new()));
        let hears = Arc::clone(&said);
        let reader = std::thread::spawn(move || {
            let (mut output, mut line) = (output, String::new());
            while output.read_line(&mut line).unwrap() > 0 {
                hears.0.lock().unwrap().push_str(&line);
                hears.1.notify_all();
                line.clear();
            }
        });
        Self { child, at, servers, counter, agent, said, reader: Some(reader), configuration }
    }

    /// Whether the program has logged that by now.
    pub fn logged(&self, words: &str) -> bool {
        self.said.0.lock().unwrap().contains(words)
    }

    /// Waits until the program has logged that.
    pub fn says(&self, words: &str) {
        self.says_often(words, 1);
    }

    pub fn says_often(&self, words: &str, times: usize) {
        let said = self.said.0.lock().unwrap();
        let bound = Duration::from_secs(20);
        let fewer = |said: &mut String| said.matches(words).count() < times;
        let (said, late) = self.said.1.wait_timeout_while(said, bound, fewer).unwrap();
        assert!(!late.timed_out(), "it never said {words:?} {times} times: {said}");
    }

    /// Waits until it is ready.
    pub fn is_ready(&self) {
        let mut client = self.client();
        assert!(comes(|| {
            client.write("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
            client.status() == "200"
        }));
    }

    /// How many descriptors it holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// A line of discovery's list for one of its servers.
    pub fn host(&self, number: usize, health: &str) -> String {
        host(number, self.servers[number].local_addr().unwrap(), health)
    }

    pub fn client(&self) -> End {
        End::new(TcpStream::connect(self.at).unwrap())
    }

    pub fn server(&self, number: usize) -> End {
        accept(&self.servers[number])
    }

    /// Puts a configuration in place that names another address.
    pub fn moves(&self, from: &TcpListener, to: &TcpListener) {
        let text = std::fs::read_to_string(&self.configuration).unwrap();
        let [from, to] = [from, to].map(|it| it.local_addr().unwrap().to_string());
        let next = self.configuration.with_extension("next");
        std::fs::write(&next, text.replace(&from, &to)).unwrap();
        std::fs::rename(next, &self.configuration).unwrap();
    }

    pub fn signal(&self, name: &str) {
        signal(&self.child, name);
    }

    /// Lets a stopped program go on, later than what it holds to be one moment.
    pub fn goes_on(&self) {
        std::thread::sleep(Duration::from_millis(50));
        self.signal("-CONT");
    }

    /// Ends the program and returns what it logged.
    pub fn log(mut self) -> String {
        self.signal("-TERM");
        assert!(self.child.wait().unwrap().success());
        self.reader.take().unwrap().join().unwrap();
        std::mem::take(&mut self.said.0.lock().unwrap())
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!(
                "{}",
                self.said.0.lock().map_or_else(|said| said.into_inner().clone(), |said| said.clone())
            );
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.configuration);
        let _ = std::fs::remove_file(self.configuration.with_extension("toml"));
    }
}

impl End {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        stream.set_nodelay(true).unwrap();
        Self(BufReader::new(stream))
    }

    pub fn write(&mut self, bytes: impl AsRef<[u8]>) {
        self.0.get_mut().write_all(bytes.as_ref()).unwrap();
    }

    /// The next message, with its head in lower case.
    pub fn read(&mut self) -> (String, Vec<u8>) {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            assert!(self.0.read_line(&mut head).unwrap() > 0, "the connection ended after {head:?}");
        }
        let head = head.to_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
        self.0.read_exact(&mut body).unwrap();
        (head, body)
    }

    pub fn status(&mut self) -> String {
        self.read().0[9..12].to_string()
    }

    pub fn answer(&mut self, status: &str, body: &str) {
        self.write(format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    }

    /// It is closed, whatever came before: calls that were written meanwhile, on a slow machine.
    pub fn closes(&mut self) {
        let kind = self.0.read_to_end(&mut Vec::new()).err().map(|error| error.kind());
        assert!(kind.is_none_or(|kind| kind == ErrorKind::ConnectionReset), "{kind:?}");
    }

    /// The machine resets the connection, whatever was read.
    pub fn resets(self) {
        let stream = self.0.into_inner();
        rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
    }

    pub fn ends(&mut self) {
        let mut rest = Vec::new();
        let ended = self.0.read_to_end(&mut rest);
        assert!(rest.is_empty() && ended.is_ok_and(|bytes| bytes == 0), "more than an end came: {rest:?}");
    }
}

pub fn job(id: &str, band: &str, plan: &str, left: &str, body: &str) -> String {
    let method = if band == "look" { "GET" } else { "POST" };
    let framing = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} /api?q=1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {band}\r\n\
         X-Tier: {plan}\r\nCookie: account=00000000b4d65521\r\nX-Time-Left-Ms: {left}\r\n\
         Idempotency-Key: k-{id}\r\n{framing}X-Call-Terms: units=2,spread=1,first=0\r\n\r\n{body}"
    )
}

/// Adds up counts until its listener is gone.
pub fn count(listener: &TcpListener) {
    let listener = listener.try_clone().unwrap();
    std::thread::spawn(move || {
        let mut totals: HashMap<String, f64> = HashMap::new();
        for stream in listener.incoming().map_while(Result::ok) {
            let mut end = End::new(stream);
            let mut line = String::new();
            while end.0.read_line(&mut line).is_ok_and(|bytes| bytes > 0) {
                let words: Vec<&str> = line.split_whitespace().collect();
                let total = totals.entry(words[1].to_string()).or_default();
                *total += words[2].parse::<f64>().unwrap();
                let told = format!("ok {total}\r\n");
                end.write(told);
                line.clear();
            }
        }
    });
}

/// Answers every request on every connection, until the listener is gone.
pub fn serve(listener: &TcpListener, body: String) {
    let listener = listener.try_clone().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let body = body.clone();
            std::thread::spawn(move || {
                let mut end = End::new(stream);
                while end.0.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
                    end.read();
                    end.answer("200 OK", &body);
                }
            });
        }
    });
}

/// A server whose connections come up only when the test lets them: its machine has no room for another one.
pub struct Door {
    listener: TcpListener,
    /// What takes the room.
    _fills: TcpStream,
}

impl Door {
    pub fn shut(listener: &TcpListener) -> Self {
        let listener = listener.try_clone().unwrap();
        rustix::net::listen(&listener, 0).unwrap();
        let fills = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        Self { listener, _fills: fills }
    }

    /// Waits until somebody has begun to connect.
    pub fn is_dialled(&self) {
        assert!(comes(|| self.is_dialled_now()), "nobody connects");
    }

    /// Whether somebody has begun to connect and has not given up.
    pub fn is_dialled_now(&self) -> bool {
        let port = format!(":{:04X} 02 ", self.listener.local_addr().unwrap().port());
        std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&port)
    }

    /// Lets connections come up, those that were begun as their machine tries again.
    pub fn open(self) {
        self.listener.accept().unwrap();
        rustix::net::listen(&self.listener, 128).unwrap();
    }
}

/// Discovery's agent on a listener, which it has to itself.
pub struct Agent(Arc<(Mutex<Told>, Condvar)>);

#[derive(Default)]
struct Told {
    seq: u64,
    hosts: String,
    /// The latest version that was written to a connection.
    written: u64,
    /// A watch waits for news; and it waits on however long none comes.
    watched: bool,
    held: bool,
}

impl Agent {
    pub fn tells(listener: &TcpListener, hosts: &[String]) -> Self {
        let agent = Self(Arc::default());
        agent.0 .0.lock().unwrap().seq = 50;
        agent.tell(hosts);
        let (listener, told) = (listener.try_clone().unwrap(), Arc::clone(&agent.0));
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let told = Arc::clone(&told);
                std::thread::spawn(move || answer_watches(End::new(stream), &told));
            }
        });
        agent
    }

    /// From now on.
    pub fn tell(&self, hosts: &[String]) {
        let mut told = self.0 .0.lock().unwrap();
        (told.seq, told.hosts, told.held) = (told.seq + 1, hosts.join(","), false);
        self.0 .1.notify_all();
    }

    /// Stops the gateway while its watch waits for the next list.
    pub fn stops(&self, stage: &Stage) {
        let told = self.0 .0.lock().unwrap();
        let bound = Duration::from_secs(20);
        let (mut told, late) = self.0 .1.wait_timeout_while(told, bound, |told| !told.watched).unwrap();
        assert!(!late.timed_out(), "nobody watches discovery");
        told.held = true;
        stage.signal("-STOP");
    }

    /// Waits until the latest list was written to the gateway's connection, whether it reads it or not.
    pub fn has_told(&self) {
        let told = self.0 .0.lock().unwrap();
        let bound = Duration::from_secs(20);
        let (_told, late) =
            self.0 .1.wait_timeout_while(told, bound, |told| told.written < told.seq).unwrap();
        assert!(!late.timed_out(), "nobody asked discovery");
    }
}

fn answer_watches(mut end: End, told: &(Mutex<Told>, Condvar)) {
    while end.0.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
        let (head, _) = end.read();
        let from = head.split("from=").nth(1).and_then(|rest| rest.split('&').next()?.parse::<u64>().ok());
        let mut state = told.0.lock().unwrap();
        state.watched = from == Some(state.seq);
        told.1.notify_all();
        let mut over = from != Some(state.seq);
        while !over {
            let waited = told.1.wait_timeout(state, Duration::from_millis(900)).unwrap();
            state = waited.0;
            over = from != Some(state.seq) || (waited.1.timed_out() && !state.held);
        }
        state.watched = false;
        let list = format!(r#"{{"seq":{},"whole":true,"hosts":[{}]}}"#, state.seq, state.hosts);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        if end.0.get_mut().write_all(answer.as_bytes()).is_err() {
            return;
        }
        state.written = state.seq;
        told.1.notify_all();
    }
}
