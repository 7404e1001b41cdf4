//! End-to-end tests of the whole tier over loopback connections: live requests, configuration changes, batch jobs, and giving
//! up a group whose stores are lost.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base64::prelude::{Engine, BASE64_STANDARD};
use fennelgauge_standins::{
    instance_entry, sample_configuration, start_model_server, start_platform, ModelServer, Platform, Ports,
    Tier, API_KEY,
};
use serde_json::{json, Value};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, Instant};

/// Time limit for anything that the tier is expected to do.
const TIMEOUT: Duration = Duration::from_secs(40);

/// A running tier with its platform and model servers.
struct RunningTier {
    tier: Tier,
    platform: Rc<Platform>,
    servers: Vec<Rc<ModelServer>>,
    core: Vec<JoinHandle<()>>,
    stores: Vec<JoinHandle<()>>,
    client: awc::Client,
}

fn run_local<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

impl RunningTier {
    /// Starts three machines of the core, three stores, one data plane and two model servers, and waits until the first
    /// configuration is in force. `salt` is different for each test, to keep their ports apart.
    async fn start(salt: u32) -> Self {
        let ports = Ports::find_free(std::process::id().wrapping_mul(7).wrapping_add(salt * 150))
            .expect("free ports");
        let directory =
            std::env::temp_dir().join(format!("fennelgauge-end-to-end-{}-{salt}", std::process::id()));
        let _ = std::fs::remove_dir_all(&directory);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let tier = Tier {
            ports,
            directory,
            platform_address: listener.local_addr().expect("an address"),
            core_machines: 3,
            tolerated_failures: 1,
            uses_relays: false,
        };
        let platform = Rc::new(Platform::default());
        start_platform(listener, platform.clone());
        let mut servers = Vec::new();
        for id in ["i-1", "i-2"] {
            let (address, server) = start_model_server(id).await.expect("a server");
            platform.instances.borrow_mut().push(instance_entry(id, "model", address, "zone-0"));
            servers.push(server);
        }
        let core = (0..3).map(|machine| spawn_control_plane(tier.core_settings(machine))).collect();
        let stores = (0..3).map(|machine| spawn_control_plane(tier.store_settings(machine))).collect();
        spawn_data_plane(tier.data_plane_settings(0));
        let running = Self { tier, platform, servers, core, stores, client: awc::Client::default() };
        running.change_configuration("Put", 0, &sample_configuration(1)).await;
        running
            .until("ready", || async {
                running.get(running.tier.readiness_address(0), "/-/ready").await.0 == 200
            })
            .await;
        running
    }

    /// Reads a group's status from the operator's API.
    async fn group_status(&self, group: u16) -> Option<Value> {
        for machine in 0..3 {
            let (status, body) =
                self.get(self.tier.control_address(machine), &format!("/-/Group.Get/{group}")).await;
            if status == 200 {
                return serde_json::from_slice(&body).ok();
            }
        }
        None
    }

    /// Waits for a group all of whose holders have reported entries, and returns its number.
    async fn group_with_entries(&self) -> u16 {
        let started_at = Instant::now();
        loop {
            for group in 0..64 {
                let status = self.group_status(group).await.unwrap_or_default();
                let holders = status["holders"].as_array().cloned().unwrap_or_default();
                if !holders.is_empty() && holders.iter().all(|holder| holder["entries"].as_u64() > Some(0)) {
                    return group;
                }
            }
            assert!(started_at.elapsed() < TIMEOUT, "no group has holders with entries");
            sleep(Duration::from_millis(200)).await;
        }
    }

    /// Gives a group up, naming the view and the holders of `group_status`. Returns the response's status code and body.
    async fn give_up(&self, group_status: &Value, force: bool) -> (u16, String) {
        let holder = |holder: &Value| json!({ "node": holder["node"], "entries": holder["entries"] });
        let holders: Vec<Value> =
            group_status["holders"].as_array().expect("holders").iter().map(holder).collect();
        let order = json!({ "view": group_status["view"], "holders": holders, "force": force });
        let started_at = Instant::now();
        for machine in (0..3).cycle() {
            let url = format!(
                "http://{}/-/Group.GiveUp/{}",
                self.tier.control_address(machine),
                group_status["group"]
            );
            let call = self.client.post(url).timeout(Duration::from_secs(3));
            assert!(started_at.elapsed() < TIMEOUT, "giving up takes too long");
            // Without a response the order may have been executed; sent again, it gets the same response.
            let Ok(response) = call.send_json(&order).await else { continue };
            let (status, body) = read_response(Ok::<_, awc::error::SendRequestError>(response)).await;
            if status < 500 {
                return (status, String::from_utf8_lossy(&body).into_owned());
            }
        }
        unreachable!("the loop has no end")
    }

    /// Stops all stores, deletes their disks and starts them again empty. This is more than the tier tolerates.
    async fn lose_all_stores(&mut self) {
        for store in self.stores.drain(..) {
            store.abort();
            let _ = store.await;
        }
        for machine in 0..3 {
            std::fs::remove_dir_all(self.tier.directory.join(format!("store-{machine}"))).expect("a disk");
            let settings = self.tier.store_settings(machine).replace("bootstrap = true", "bootstrap = false");
            self.stores.push(spawn_control_plane(settings));
        }
    }

    /// Polls a condition until it holds. `name` is part of the failure message.
    async fn until<F: Future<Output = bool>>(&self, name: &str, condition: impl Fn() -> F) {
        let started_at = Instant::now();
        while !condition().await {
            assert!(started_at.elapsed() < TIMEOUT, "{name} takes too long");
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends a configuration change as an operator does: to one machine of the core after the other until one acknowledges it.
    async fn change_configuration(&self, kind: &str, base: u64, body: &Value) {
        let started_at = Instant::now();
        for attempt in 0.. {
            assert!(started_at.elapsed() < TIMEOUT, "{kind} takes too long");
            let url = format!("http://{}/-/Config.{kind}", self.tier.control_address(attempt % 3));
            let call = self.client.post(url).insert_header(("X-Fennelgauge-Base-Version", base.to_string()));
            match call
                .timeout(Duration::from_secs(1))
                .send_json(body)
                .await
                .map(|response| response.status().as_u16())
            {
                Ok(200) => return,
                Ok(status) if status < 500 => panic!("{kind} is refused with {status}"),
                _ => sleep(Duration::from_millis(100)).await,
            }
        }
    }

    /// Sends a configuration that is to be refused. Returns the response's status code.
    async fn put_refused(&self, base: u64, body: &Value) -> u16 {
        let url = format!("http://{}/-/Config.Put", self.tier.control_address(1));
        let call = self.client.post(url).insert_header(("X-Fennelgauge-Base-Version", base.to_string()));
        call.send_json(body).await.expect("a response").status().as_u16()
    }

    /// Sends a GET request with the tenant's key. Returns status code and body.
    async fn get(&self, address: SocketAddr, path: &str) -> (u16, Vec<u8>) {
        let call = self.client.get(format!("http://{address}{path}")).timeout(Duration::from_secs(5));
        let call = call.insert_header(("Host", "tier.example")).insert_header(("Authorization", bearer()));
        read_response(call.insert_header(("X-Fennelgauge-Poll-Wait", "500")).send().await).await
    }

    /// Sends a POST request with the tenant's key to the data plane. Returns status code and body.
    async fn post(&self, path: &str, id: &str, body: Vec<u8>) -> (u16, Vec<u8>) {
        let call = self.client.post(format!("http://{}{path}", self.tier.front_address(0)));
        let call = call.insert_header(("Host", "tier.example")).insert_header(("Authorization", bearer()));
        let call = call.insert_header(("X-Fennelgauge-Request-Id", id)).timeout(Duration::from_secs(5));
        read_response(call.insert_header(("X-Fennelgauge-Request-Deadline", "4000")).send_body(body).await)
            .await
    }

    /// Submits a batch job as a client does: again until the response is not a server error. `items` are paths and tokens.
    async fn submit(&self, id: &str, items: &[(&str, u64)]) -> u16 {
        let body = submission(id, items);
        let started_at = Instant::now();
        loop {
            let (status, _) = self.post("/batch/submit", id, body.clone()).await;
            if status < 500 {
                return status;
            }
            assert!(started_at.elapsed() < TIMEOUT, "submitting a batch job takes too long");
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Sends a request with the tenant's key to the data plane and closes the connection after `stay`.
    async fn send_and_leave(&self, head: &str, id: &str, body: &[u8], stay: Duration) {
        let mut stream = TcpStream::connect(self.tier.front_address(0)).await.expect("connected");
        let head = format!(
            "{head} HTTP/1.1\r\nHost: tier.example\r\nAuthorization: {}\r\nX-Fennelgauge-Request-Id: {id}\r\n\
             Content-Length: {}\r\n\r\n",
            bearer(),
            body.len()
        );
        stream.write_all(&[head.as_bytes(), body].concat()).await.expect("sent");
        sleep(stay).await;
    }

    /// Reads a page of results; `None` if the response is not a success.
    async fn results(&self, id: &str, start_after: usize) -> Option<Value> {
        let path = format!("/-/lots/{id}?start_after={start_after}");
        let (status, body) = self.get(self.tier.front_address(0), &path).await;
        (status == 200).then(|| serde_json::from_slice(&body).expect("JSON"))
    }

    /// Waits until all items of a batch job have results, and returns these.
    async fn all_results(&self, id: &str) -> Vec<Value> {
        let started_at = Instant::now();
        loop {
            assert!(started_at.elapsed() < TIMEOUT, "results take too long");
            if let Some(page) = self.results(id, 0).await {
                let results = page["results"].as_array().expect("results").clone();
                if Some(results.len() as u64) == page["total"].as_u64() {
                    return results;
                }
            }
            sleep(Duration::from_millis(50)).await;
        }
    }
}

impl Drop for RunningTier {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.tier.directory);
    }
}

/// Returns the body of a submission. `items` are paths and tokens.
fn submission(id: &str, items: &[(&str, u64)]) -> Vec<u8> {
    let item = |(index, (path, tokens)): (usize, &(&str, u64))| {
        json!({ "id": format!("{id}-{index}"), "path": path, "headers": {}, "tokens": tokens,
                "body": BASE64_STANDARD.encode([index as u8, 7]) })
    };
    let items: Vec<Value> = items.iter().enumerate().map(item).collect();
    serde_json::to_vec(&json!({ "requests": items })).expect("JSON")
}

fn bearer() -> String {
    format!("Bearer {API_KEY}")
}

/// Runs a process of the tier with its own set of tasks. Aborting the handle ends all of them at once, as killing the process
/// would.
fn spawn_process<F: Future<Output = anyhow::Result<()>> + 'static>(run: F) -> JoinHandle<()> {
    let tasks = LocalSet::new();
    tasks.spawn_local(async move { run.await.expect("runs") });
    spawn_local(tasks)
}

fn spawn_control_plane(settings: String) -> JoinHandle<()> {
    spawn_process(fennelgauge_control_plane::process::run(Tier::parse_settings(&settings).expect("settings")))
}

fn spawn_data_plane(settings: String) -> JoinHandle<()> {
    spawn_process(fennelgauge_data_plane::process::run(Tier::parse_settings(&settings).expect("settings")))
}

/// Reads a response. Returns status code and body; the body is empty if it can't be read.
async fn read_response<E: std::fmt::Debug>(
    response: Result<
        awc::ClientResponse<
            impl futures_util::Stream<Item = Result<actix_web::web::Bytes, awc::error::PayloadError>> + Unpin,
        >,
        E,
    >,
) -> (u16, Vec<u8>) {
    let mut response = response.expect("a response");
    let status = response.status().as_u16();
    (status, response.body().await.map(|body| body.to_vec()).unwrap_or_default())
}

/// The complete response of a model server to a request.
fn expected_events(id: &str) -> String {
    (1..=5).map(|event| format!("id: {event}\ndata: {id} {event}\n\n")).collect()
}

#[test]
fn live_request_is_answered_completely_and_resumed_and_its_usage_is_reported() {
    run_local(async {
        let running = RunningTier::start(1).await;
        let (status, body) = running.post("/stream/a", "r-1", b"prompt".to_vec()).await;
        assert_eq!((status, String::from_utf8(body).unwrap()), (200, expected_events("r-1")));
        let runs: Vec<_> = running.servers.iter().flat_map(|server| server.runs.borrow().clone()).collect();
        assert_eq!(runs, [("r-1".to_owned(), "tenant".to_owned(), 0)]);
        assert!(
            running.servers.iter().all(|server| !*server.received_api_key.borrow()),
            "the API key is not passed to servers"
        );
        assert_eq!(
            running.post("/stream/fail/a", "r-2", vec![]).await.0,
            500,
            "the server's response is passed on"
        );
        assert_eq!(running.post("/nowhere/a", "r-3", vec![]).await.0, 404);

        let (status, body) = running.post("/resume/break/a", "r-4", vec![]).await;
        assert_eq!(
            (status, String::from_utf8(body).unwrap()),
            (200, expected_events("r-4")),
            "resumed at another server"
        );
        let all_runs = running.servers.iter().flat_map(|server| server.runs.borrow().clone());
        assert!(all_runs.into_iter().any(|(id, _, after)| id == "r-4" && after == 2));

        running.until("usage", || async { !running.platform.usage_reports.borrow().is_empty() }).await;
        let (_, counts, _) = running.platform.usage_reports.borrow()[0].clone();
        assert!(counts["tenant"].as_u64().is_some_and(|count| count >= 1), "{counts}");
    });
}

#[test]
fn configuration_patch_takes_effect_and_survives_the_loss_of_a_core_machine() {
    run_local(async {
        let running = RunningTier::start(2).await;
        let mut route = sample_configuration(1)["routes"][0].clone();
        route["name"] = "added".into();
        route["path_prefix"] = "/added/".into();
        let patch =
            json!({ "generation": 3, "upsert": { "routes": [route] }, "remove": { "routes": ["stream"] } });
        running.change_configuration("Patch", 1, &patch).await;
        running.change_configuration("Patch", 1, &patch).await;
        running.until("added", || async { running.post("/added/a", "p-1", vec![]).await.0 == 200 }).await;
        assert_eq!(running.post("/stream/a", "p-2", vec![]).await.0, 404);
        assert_eq!(
            running.put_refused(1, &sample_configuration(5)).await,
            412,
            "the base is not the current version"
        );
        assert_eq!(
            running.put_refused(3, &sample_configuration(3)).await,
            400,
            "the generation is not higher"
        );

        running.core[0].abort();
        running
            .until("stop of a core machine", || async {
                TcpStream::connect(running.tier.control_address(0)).await.is_err()
            })
            .await;
        let second_patch = json!({ "generation": 4, "upsert": {}, "remove": { "routes": ["added"] } });
        running.change_configuration("Patch", 3, &second_patch).await;
        running.until("removed", || async { running.post("/added/a", "p-3", vec![]).await.0 == 404 }).await;
        let (status, body) = running.get(running.tier.control_address(1), "/-/Config.Get").await;
        let read: Value = serde_json::from_slice(&body).unwrap_or_default();
        assert_eq!((status, &read["generation"]), (200, &json!(4)));
    });
}

#[test]
fn batch_job_is_accepted_once_executed_listed_and_cancelled() {
    run_local(async {
        let running = RunningTier::start(3).await;
        let items =
            [("/batch/1", 10), ("/batch/break/2", 10), ("/batch/poison/3", 10), ("/batch/fail/4", 10)];
        assert_eq!(running.submit("job-1", &items).await, 202);
        assert_eq!(running.submit("job-1", &items).await, 202, "submitting again has no effect");
        let results = running.all_results("job-1").await;
        let result_of = |id: &str| results.iter().find(|result| result["id"] == id).expect("listed").clone();
        let text = |id: &str| (1..=5).map(|event| format!("{id} {event}")).collect::<Vec<_>>().join("\n");
        assert_eq!(result_of("job-1-0")["text"], text("job-1-0"));
        assert_eq!(result_of("job-1-1")["text"], text("job-1-1"), "resumed after the last event");
        assert_eq!(result_of("job-1-2")["state"], "dead_lettered");
        assert_eq!(result_of("job-1-3")["state"], "dead_lettered");
        assert_eq!(running.all_results("job-1").await, results, "results keep their order");

        assert_eq!(
            running.submit("job-2", &[("/batch/1", 2_000)]).await,
            429,
            "the tenant's limit of queued tokens is exceeded"
        );
        assert_eq!(running.submit("job-3", &[("/elsewhere/1", 1)]).await, 400);
        assert_eq!(running.get(running.tier.front_address(0), "/-/lots/none").await.0, 404);
        let cancel = running.client.delete(format!("http://{}/-/lots/job-1", running.tier.front_address(0)));
        let cancel =
            cancel.insert_header(("Host", "tier.example")).insert_header(("Authorization", bearer()));
        assert_eq!(read_response(cancel.send().await).await.0, 200);
        assert_eq!(running.all_results("job-1").await, results, "listed results are kept");
    });
}

/// Guards against a batch job that is lost, kept twice or counted twice because the client that submitted, read or cancelled
/// it left before its response.
#[test]
fn batch_calls_whose_clients_leave_lose_nothing_and_count_nothing_twice() {
    run_local(async {
        let running = RunningTier::start(5).await;
        let items = [("/batch/1", 300), ("/batch/2", 300)];
        for milliseconds in 0..16 {
            let (id, stay) = (format!("job-{milliseconds}"), Duration::from_millis(milliseconds));
            let body = submission(&id, &items);
            running.send_and_leave("POST /batch/submit", &id, &body, stay).await;
            running.send_and_leave(&format!("GET /-/lots/{id}?start_after=0"), "read", &[], stay).await;
            assert_eq!(running.submit(&id, &items).await, 202, "{id}: the same job again");
            let results = running.all_results(&id).await;
            let mut ids: Vec<&str> = results.iter().filter_map(|result| result["id"].as_str()).collect();
            ids.sort();
            assert_eq!(ids, [format!("{id}-0"), format!("{id}-1")], "{id}: each item is listed once");
            running.send_and_leave(&format!("DELETE /-/lots/{id}"), "cancel", &[], stay).await;
            assert_eq!(running.all_results(&id).await, results, "{id}: listed results stay");
        }
        let full = [("/batch/1", 1_000)];
        assert_eq!(running.submit("job-full", &full).await, 202, "no tokens are still counted as queued");
        assert_eq!(running.all_results("job-full").await.len(), 1);
    });
}

#[test]
fn group_whose_holders_are_lost_can_be_given_up() {
    run_local(async {
        let mut running = RunningTier::start(4).await;
        assert_eq!(running.submit("job-1", &[("/batch/1", 10)]).await, 202);
        let results = running.all_results("job-1").await;
        assert_eq!(results.len(), 1);
        let group = running.group_with_entries().await;
        let open = running.group_status(group).await.expect("known");
        assert_eq!(open["open"], true, "{open}");
        let (status, reason) = running.give_up(&open, true).await;
        assert!(status == 409 && reason.contains("is heard"), "{status}: {reason}");

        running.lose_all_stores().await;
        let path = "/-/lots/job-1?start_after=0";
        let front = running.tier.front_address(0);
        running
            .until("loss of all holders", || async {
                let report = running.group_status(group).await.unwrap_or_default();
                report["holders"]
                    .as_array()
                    .is_some_and(|all| all.iter().all(|holder| holder["heard"] == false))
            })
            .await;
        let lost = running.group_status(group).await.expect("known");
        assert!(running.get(front, path).await.0 == 503, "the job may exist: the response is not 404");
        let (status, reason) = running.give_up(&lost, false).await;
        assert!(status == 409 && reason.contains("may come back"), "{status}: {reason}");
        let mut other = lost.clone();
        other["holders"][0]["entries"] = json!(1_000);
        assert_eq!(running.give_up(&other, true).await.0, 409, "the holders are not the current ones");
        other = lost.clone();
        other["view"] = json!(1);
        assert_eq!(running.give_up(&other, true).await.0, 412);

        // The group can be recreated only after heartbeats of the new stores have arrived.
        let started_at = Instant::now();
        while running.give_up(&running.group_status(group).await.expect("known"), true).await.0 != 200 {
            assert!(started_at.elapsed() < TIMEOUT, "giving up takes too long");
            sleep(Duration::from_millis(200)).await;
        }
        running.until("given up", || async { running.get(front, path).await.0 == 410 }).await;
        let (_, body) = running.get(front, path).await;
        assert!(String::from_utf8_lossy(&body).contains("given_up"));
        assert_eq!(
            running.submit("job-1", &[("/batch/1", 10)]).await,
            410,
            "the id of a lost job can't be used again"
        );
        assert_eq!(running.submit("job-2", &[("/batch/1", 10)]).await, 202, "new jobs are accepted");
        assert_eq!(running.all_results("job-2").await.len(), 1);
        let report = running.group_status(group).await.expect("known");
        assert_eq!(report["given_up"].as_array().map(Vec::len), Some(1), "{report}");
    });
}
