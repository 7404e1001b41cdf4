//! The whole tier over real connections on loopback: a request, a patch and a batch job from end to end.

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
use tokio::net::TcpListener;
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, Instant};

const PATIENCE: Duration = Duration::from_secs(40);

struct Whole {
    tier: Tier,
    platform: Rc<Platform>,
    servers: Vec<Rc<ModelServer>>,
    core: Vec<JoinHandle<()>>,
    stores: Vec<JoinHandle<()>>,
    client: awc::Client,
}

fn local<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

impl Whole {
    /// Three machines of the core, three stores, one data plane, two servers, the first configuration taken.
    async fn start(salt: u32) -> Self {
        let ports = Ports::find_free(std::process::id().wrapping_mul(7).wrapping_add(salt * 150))
            .expect("free ports");
        let folder = std::env::temp_dir().join(format!("fennelgauge-whole-{}-{salt}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let tier = Tier {
            ports,
            directory: folder,
            platform_address: listener.local_addr().expect("an address"),
            core_machines: 3,
            tolerated_losses: 1,
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
        let core = (0..3).map(|machine| control(tier.core_settings(machine))).collect();
        let stores = (0..3).map(|machine| control(tier.store_settings(machine))).collect();
        data(tier.data_plane_settings(0));
        let whole = Self { tier, platform, servers, core, stores, client: awc::Client::default() };
        whole.order("Put", 0, &sample_configuration(1)).await;
        whole
            .until("ready", || async {
                whole.get(whole.tier.readiness_address(0), "/-/ready").await.0 == 200
            })
            .await;
        whole
    }

    /// What an operator is told of a group.
    async fn group(&self, group: u16) -> Option<Value> {
        for machine in 0..3 {
            let (status, body) =
                self.get(self.tier.control_address(machine), &format!("/-/Group.Get/{group}")).await;
            if status == 200 {
                return serde_json::from_slice(&body).ok();
            }
        }
        None
    }

    /// The group whose holders have told that they have entries.
    async fn group_with_entries(&self) -> u16 {
        let began = Instant::now();
        loop {
            for group in 0..64 {
                let report = self.group(group).await.unwrap_or_default();
                let holders = report["holders"].as_array().cloned().unwrap_or_default();
                if !holders.is_empty() && holders.iter().all(|holder| holder["entries"].as_u64() > Some(0)) {
                    return group;
                }
            }
            assert!(began.elapsed() < PATIENCE, "nobody tells of entries");
            sleep(Duration::from_millis(200)).await;
        }
    }

    /// Gives a group up as it is told to be; the answer's status and reason.
    async fn give_up(&self, report: &Value, force: bool) -> (u16, String) {
        let holder = |holder: &Value| json!({ "node": holder["node"], "entries": holder["entries"] });
        let holders: Vec<Value> = report["holders"].as_array().expect("holders").iter().map(holder).collect();
        let order = json!({ "view": report["view"], "holders": holders, "force": force });
        let began = Instant::now();
        for machine in (0..3).cycle() {
            let url =
                format!("http://{}/-/Group.GiveUp/{}", self.tier.control_address(machine), report["group"]);
            let call = self.client.post(url).timeout(Duration::from_secs(3));
            assert!(began.elapsed() < PATIENCE, "an order takes too long");
            // Whoever is silent may have carried it out: sent again, it is answered alike.
            let Ok(answer) = call.send_json(&order).await else { continue };
            let (status, body) = read(Ok::<_, awc::error::SendRequestError>(answer)).await;
            if status < 500 {
                return (status, String::from_utf8_lossy(&body).into_owned());
            }
        }
        unreachable!("the loop is without end")
    }

    /// All stores lose their disks at once, more than is borne, and come back empty.
    async fn lose_all_stores(&mut self) {
        for store in self.stores.drain(..) {
            store.abort();
            let _ = store.await;
        }
        for machine in 0..3 {
            std::fs::remove_dir_all(self.tier.directory.join(format!("store-{machine}"))).expect("a disk");
            let settings = self.tier.store_settings(machine).replace("bootstrap = true", "bootstrap = false");
            self.stores.push(control(settings));
        }
    }

    /// Waits for a condition.
    async fn until<F: Future<Output = bool>>(&self, name: &str, condition: impl Fn() -> F) {
        let began = Instant::now();
        while !condition().await {
            assert!(began.elapsed() < PATIENCE, "{name} takes too long");
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends an order as an operator does: again, to the next machine, until it is acknowledged.
    async fn order(&self, kind: &str, base: u64, body: &Value) {
        let began = Instant::now();
        for attempt in 0.. {
            assert!(began.elapsed() < PATIENCE, "{kind} takes too long");
            let url = format!("http://{}/-/Config.{kind}", self.tier.control_address(attempt % 3));
            let call = self.client.post(url).insert_header(("X-Fennelgauge-Base-Version", base.to_string()));
            match call
                .timeout(Duration::from_secs(1))
                .send_json(body)
                .await
                .map(|answer| answer.status().as_u16())
            {
                Ok(200) => return,
                Ok(status) if status < 500 => panic!("{kind} is refused with {status}"),
                _ => sleep(Duration::from_millis(100)).await,
            }
        }
    }

    async fn refused_order(&self, base: u64, body: &Value) -> u16 {
        let url = format!("http://{}/-/Config.Put", self.tier.control_address(1));
        let call = self.client.post(url).insert_header(("X-Fennelgauge-Base-Version", base.to_string()));
        call.send_json(body).await.expect("an answer").status().as_u16()
    }

    async fn get(&self, address: SocketAddr, path: &str) -> (u16, Vec<u8>) {
        let call = self.client.get(format!("http://{address}{path}")).timeout(Duration::from_secs(5));
        let call = call.insert_header(("Host", "tier.example")).insert_header(("Authorization", bearer()));
        read(call.insert_header(("X-Fennelgauge-Poll-Wait", "500")).send().await).await
    }

    async fn post(&self, path: &str, id: &str, body: Vec<u8>) -> (u16, Vec<u8>) {
        let call = self.client.post(format!("http://{}{path}", self.tier.front_address(0)));
        let call = call.insert_header(("Host", "tier.example")).insert_header(("Authorization", bearer()));
        let call = call.insert_header(("X-Fennelgauge-Request-Id", id)).timeout(Duration::from_secs(5));
        read(call.insert_header(("X-Fennelgauge-Request-Deadline", "4000")).send_body(body).await).await
    }

    /// Submits a batch job as a client does: again until it is taken or clearly refused.
    async fn submit(&self, id: &str, items: &[(&str, u64)]) -> u16 {
        let item = |(place, (path, tokens)): (usize, &(&str, u64))| {
            json!({ "id": format!("{id}-{place}"), "path": path, "headers": {}, "tokens": tokens,
                    "body": BASE64_STANDARD.encode([place as u8, 7]) })
        };
        let items: Vec<Value> = items.iter().enumerate().map(item).collect();
        let body = serde_json::to_vec(&json!({ "requests": items })).expect("JSON");
        let began = Instant::now();
        loop {
            let (status, _) = self.post("/batch/submit", id, body.clone()).await;
            if status < 500 {
                return status;
            }
            assert!(began.elapsed() < PATIENCE, "a batch job takes too long");
            sleep(Duration::from_millis(100)).await;
        }
    }

    async fn results(&self, id: &str, start: usize) -> Option<Value> {
        let path = format!("/-/lots/{id}?start_after={start}");
        let (status, body) = self.get(self.tier.front_address(0), &path).await;
        (status == 200).then(|| serde_json::from_slice(&body).expect("JSON"))
    }

    /// All results of a batch job, once there are as many as items.
    async fn all_results(&self, id: &str) -> Vec<Value> {
        let began = Instant::now();
        loop {
            assert!(began.elapsed() < PATIENCE, "results take too long");
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

impl Drop for Whole {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.tier.directory);
    }
}

fn bearer() -> String {
    format!("Bearer {API_KEY}")
}

/// Runs a process with a set of tasks of its own: aborting the handle ends all of them at once, as a kill does.
fn process<F: Future<Output = anyhow::Result<()>> + 'static>(run: F) -> JoinHandle<()> {
    let tasks = LocalSet::new();
    tasks.spawn_local(async move { run.await.expect("runs") });
    spawn_local(tasks)
}

fn control(settings: String) -> JoinHandle<()> {
    process(fennelgauge_control_plane::process::run(Tier::parse_settings(&settings).expect("settings")))
}

fn data(settings: String) -> JoinHandle<()> {
    process(fennelgauge_data_plane::process::run(Tier::parse_settings(&settings).expect("settings")))
}

async fn read<E: std::fmt::Debug>(
    answer: Result<
        awc::ClientResponse<
            impl futures_util::Stream<Item = Result<actix_web::web::Bytes, awc::error::PayloadError>> + Unpin,
        >,
        E,
    >,
) -> (u16, Vec<u8>) {
    let mut answer = answer.expect("an answer");
    let status = answer.status().as_u16();
    (status, answer.body().await.map(|body| body.to_vec()).unwrap_or_default())
}

fn events(id: &str) -> String {
    (1..=5).map(|event| format!("id: {event}\ndata: {id} {event}\n\n")).collect()
}

#[test]
fn a_request_goes_to_a_server_and_its_answer_comes_back_whole() {
    local(async {
        let whole = Whole::start(1).await;
        let (status, body) = whole.post("/stream/a", "r-1", b"prompt".to_vec()).await;
        assert_eq!((status, String::from_utf8(body).unwrap()), (200, events("r-1")));
        let runs: Vec<_> = whole.servers.iter().flat_map(|server| server.runs.borrow().clone()).collect();
        assert_eq!(runs, [("r-1".to_owned(), "tenant".to_owned(), 0)]);
        assert!(whole.servers.iter().all(|server| !*server.received_api_key.borrow()), "the key stays here");
        assert_eq!(whole.post("/stream/fail/a", "r-2", vec![]).await.0, 500, "the server's own answer");
        assert_eq!(whole.post("/nowhere/a", "r-3", vec![]).await.0, 404);

        let (status, body) = whole.post("/resume/break/a", "r-4", vec![]).await;
        assert_eq!((status, String::from_utf8(body).unwrap()), (200, events("r-4")), "continued elsewhere");
        let continued = whole.servers.iter().flat_map(|server| server.runs.borrow().clone());
        assert!(continued.into_iter().any(|(id, _, after)| id == "r-4" && after == 2));

        whole.until("usage", || async { !whole.platform.usage_reports.borrow().is_empty() }).await;
        let (_, counts, _) = whole.platform.usage_reports.borrow()[0].clone();
        assert!(counts["tenant"].as_u64().is_some_and(|count| count >= 1), "{counts}");
    });
}

#[test]
fn a_patch_is_in_force_everywhere_and_survives_the_loss_of_a_member() {
    local(async {
        let whole = Whole::start(2).await;
        let mut route = sample_configuration(1)["routes"][0].clone();
        route["name"] = "added".into();
        route["path_prefix"] = "/added/".into();
        let patch =
            json!({ "generation": 3, "upsert": { "routes": [route] }, "remove": { "routes": ["stream"] } });
        whole.order("Patch", 1, &patch).await;
        whole.order("Patch", 1, &patch).await;
        whole.until("added", || async { whole.post("/added/a", "p-1", vec![]).await.0 == 200 }).await;
        assert_eq!(whole.post("/stream/a", "p-2", vec![]).await.0, 404);
        assert_eq!(whole.refused_order(1, &sample_configuration(5)).await, 412, "another version is current");
        assert_eq!(whole.refused_order(3, &sample_configuration(3)).await, 400, "its number is not above");

        whole.core[0].abort();
        whole
            .until("lost", || async {
                tokio::net::TcpStream::connect(whole.tier.control_address(0)).await.is_err()
            })
            .await;
        let again = json!({ "generation": 4, "upsert": {}, "remove": { "routes": ["added"] } });
        whole.order("Patch", 3, &again).await;
        whole.until("removed", || async { whole.post("/added/a", "p-3", vec![]).await.0 == 404 }).await;
        let (status, body) = whole.get(whole.tier.control_address(1), "/-/Config.Get").await;
        let read: Value = serde_json::from_slice(&body).unwrap_or_default();
        assert_eq!((status, &read["generation"]), (200, &json!(4)));
    });
}

#[test]
fn a_batch_job_is_kept_run_listed_and_ended() {
    local(async {
        let whole = Whole::start(3).await;
        let items =
            [("/batch/1", 10), ("/batch/break/2", 10), ("/batch/poison/3", 10), ("/batch/fail/4", 10)];
        assert_eq!(whole.submit("job-1", &items).await, 202);
        assert_eq!(whole.submit("job-1", &items).await, 202, "taken once");
        let results = whole.all_results("job-1").await;
        let of = |id: &str| results.iter().find(|result| result["id"] == id).expect("listed").clone();
        let text = |id: &str| (1..=5).map(|event| format!("{id} {event}")).collect::<Vec<_>>().join("\n");
        assert_eq!(of("job-1-0")["text"], text("job-1-0"));
        assert_eq!(of("job-1-1")["text"], text("job-1-1"), "continued at the next event");
        assert_eq!(of("job-1-2")["state"], "dead_lettered");
        assert_eq!(of("job-1-3")["state"], "dead_lettered");
        assert_eq!(whole.all_results("job-1").await, results, "positions stay");

        assert_eq!(whole.submit("job-2", &[("/batch/1", 2_000)]).await, 429, "more than may be queued");
        assert_eq!(whole.submit("job-3", &[("/elsewhere/1", 1)]).await, 400);
        assert_eq!(whole.get(whole.tier.front_address(0), "/-/lots/none").await.0, 404);
        let end = whole.client.delete(format!("http://{}/-/lots/job-1", whole.tier.front_address(0)));
        let end = end.insert_header(("Host", "tier.example")).insert_header(("Authorization", bearer()));
        assert_eq!(read(end.send().await).await.0, 200);
        assert_eq!(whole.all_results("job-1").await, results, "what is listed stays");
    });
}

#[test]
fn a_group_whose_holders_are_lost_is_given_up_by_an_order() {
    local(async {
        let mut whole = Whole::start(4).await;
        assert_eq!(whole.submit("job-1", &[("/batch/1", 10)]).await, 202);
        let results = whole.all_results("job-1").await;
        assert_eq!(results.len(), 1);
        let group = whole.group_with_entries().await;
        let open = whole.group(group).await.expect("known");
        assert_eq!(open["open"], true, "{open}");
        let (status, reason) = whole.give_up(&open, true).await;
        assert!(status == 409 && reason.contains("is heard"), "{status}: {reason}");

        whole.lose_all_stores().await;
        let path = "/-/lots/job-1?start_after=0";
        let front = whole.tier.front_address(0);
        whole
            .until("silence", || async {
                let report = whole.group(group).await.unwrap_or_default();
                report["holders"]
                    .as_array()
                    .is_some_and(|all| all.iter().all(|holder| holder["heard"] == false))
            })
            .await;
        let lost = whole.group(group).await.expect("known");
        assert!(whole.get(front, path).await.0 == 503, "nobody can be sure: it is not unknown");
        let (status, reason) = whole.give_up(&lost, false).await;
        assert!(status == 409 && reason.contains("may come back"), "{status}: {reason}");
        let mut other = lost.clone();
        other["holders"][0]["entries"] = json!(1_000);
        assert_eq!(whole.give_up(&other, true).await.0, 409, "it was not looked at");
        other = lost.clone();
        other["view"] = json!(1);
        assert_eq!(whole.give_up(&other, true).await.0, 412);

        // The new stores have to be heard before anything can be begun on them.
        let began = Instant::now();
        while whole.give_up(&whole.group(group).await.expect("known"), true).await.0 != 200 {
            assert!(began.elapsed() < PATIENCE, "it is not given up");
            sleep(Duration::from_millis(200)).await;
        }
        whole.until("given up", || async { whole.get(front, path).await.0 == 410 }).await;
        let (_, told) = whole.get(front, path).await;
        assert!(String::from_utf8_lossy(&told).contains("given_up"));
        assert_eq!(whole.submit("job-1", &[("/batch/1", 10)]).await, 410, "its name is not used again");
        assert_eq!(whole.submit("job-2", &[("/batch/1", 10)]).await, 202, "new ones are taken");
        assert_eq!(whole.all_results("job-2").await.len(), 1);
        let report = whole.group(group).await.expect("known");
        assert_eq!(report["given_up"].as_array().map(Vec::len), Some(1), "{report}");
    });
}
