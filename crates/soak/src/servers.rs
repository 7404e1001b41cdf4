//! The stand-ins for model servers: their start, and what strikes them.

use std::rc::{Rc, Weak};
use std::time::Duration;

use fennelgauge_standins::{
    instance_entry, start_model_server, Conduct, ConductCounts, ModelServer, Observer,
};
use serde_json::Value;
use tokio::time::sleep;

use crate::world::World;

/// Service of the routes.
const SERVICE: &str = "model";
/// A service that no route has.
const OTHER_SERVICE: &str = "other";
/// The platform's list shows a change of servers so late.
const LIST_LAG: Duration = Duration::from_millis(800);

/// Starts all servers and lists them at the platform.
///
/// # Errors
/// If no port can be bound.
pub async fn start(world: &World, observer: &Rc<dyn Observer>) -> anyhow::Result<()> {
    for place in 0..world.plan.servers {
        let id = format!("i-{place}");
        let (address, server) = start_model_server(&id).await?;
        *server.observer.borrow_mut() = Some(observer.clone());
        world.platform.instances.borrow_mut().push(instance_entry(&id, SERVICE, address, "zone-0"));
        world.servers.borrow_mut().push(Rc::downgrade(&server));
    }
    Ok(())
}

/// Has all servers behave so from now on.
pub fn conduct(world: &World, conduct: Conduct) {
    for server in all(world) {
        server.conduct.set(conduct);
    }
}

/// How often the servers behaved in each way.
pub fn counts(world: &World) -> ConductCounts {
    let mut counts = ConductCounts::default();
    for server in all(world) {
        counts.add(&server.counts.get());
    }
    counts
}

/// A server stands still for a time; its sockets go on receiving.
pub async fn freeze(world: &World, place: u8, for_: Duration) {
    let Some(server) = at(world, place) else { return };
    world.unplanned(for_);
    server.frozen.set(true);
    sleep(for_).await;
    server.frozen.set(false);
}

/// A server ends, and another one takes over its address: first one of a service that no route has, then one of the old service.
pub async fn replace(world: &World, place: u8, for_: Duration) {
    let Some(server) = at(world, place) else { return };
    world.unplanned(LIST_LAG * 2 + for_);
    for service in [OTHER_SERVICE, SERVICE] {
        let (old, new) = (server.id(), format!("i-{place}-{}", world.number()));
        server.replace(&new);
        sleep(LIST_LAG).await;
        list(world, &old, &new, service);
        sleep(for_).await;
    }
}

fn at(world: &World, place: u8) -> Option<Rc<ModelServer>> {
    world.servers.borrow().get(usize::from(place))?.upgrade()
}

fn all(world: &World) -> Vec<Rc<ModelServer>> {
    world.servers.borrow().iter().filter_map(Weak::upgrade).collect()
}

/// Has the platform list a server in the place of another one.
fn list(world: &World, old: &str, new: &str, service: &str) {
    let mut instances = world.platform.instances.borrow_mut();
    if let Some(entry) = instances.iter_mut().find(|entry| entry["id"] == old) {
        entry["id"] = Value::from(new);
        entry["backend"] = Value::from(service);
    }
}
