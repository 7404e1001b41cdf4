//! Discovery's agents of a real play: one on each limiter's machine, so that no link lies between.

use super::http::{self, Reader};
use super::stage::Shared;
use crate::record::Event;
use fennelgauge::host::{Health, RosterEntry};
use serde_json::{json, Value};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tracing::warn;

pub async fn door(stage: Shared, gateway: u32, class: usize) {
    let at = stage.net.agent(gateway);
    let listener = match TcpListener::bind(at).await {
        Ok(listener) => listener,
        Err(error) => {
            warn!(gateway, %error, "an agent cannot listen");
            return;
        }
    };
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::task::spawn_local(connection(stage.clone(), gateway, class, stream));
        }
    }
}

/// The list in discovery's form, with the addresses at which that class reaches the servers.
pub fn listing(stage: &Shared, seq: usize, whole: bool, entries: &[RosterEntry], class: usize) -> Value {
    let world = stage.world.borrow();
    let zones = &world.scenario.deployment.zones;
    let hosts = entries.iter().map(|entry| {
        let health = match entry.health {
            Health::Ready => "in_service",
            Health::Draining => "terminating",
            Health::Gone => "terminated",
        };
        json!({
            "host": format!("s-{:04x}", entry.server),
            "dial": stage.net.server(entry.server, class).to_string(),
            "site": zones.get(usize::from(entry.zone)).map_or("", String::as_str),
            "class": "m", "block": entry.cell, "health": health, "share": entry.rating,
            "born_ms": entry.started.map_or(0, |at| stage.clock.unix_ms(at)),
        })
    });
    json!({"seq": seq, "whole": whole, "hosts": hosts.collect::<Vec<_>>()})
}

fn query(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

async fn connection(stage: Shared, gateway: u32, class: usize, mut stream: TcpStream) {
    let mut reader = Reader::default();
    while let Ok(Some(message)) = reader.next(&mut stream, true, || {}, || None).await {
        let path = &message.first.1;
        if !path.starts_with("/api/targets") {
            if stream.write_all(&http::answer("404 Not Found", "", "")).await.is_err() {
                return;
            }
            continue;
        }
        let from = query(path, "from").and_then(|from| usize::try_from(from).ok());
        let hold = Duration::from_millis(query(path, "hold_ms").unwrap_or(0).min(60_000));
        let version = match from {
            None => stage.world.borrow_mut().discovery.hear(gateway, stage.clock.now()),
            Some(from) => newer(&stage, gateway, from, hold).await,
        };
        while stage.world.borrow().discovery.is_silent(gateway) {
            let mut news = stage.news.subscribe();
            if news.changed().await.is_err() {
                return;
            }
        }
        let entries = match from {
            Some(from) if from <= version => stage.world.borrow().discovery.between(from, version),
            _ => stage.world.borrow().discovery.whole(version),
        };
        let whole = from.is_none_or(|from| from > version);
        let text = listing(&stage, version, whole, &entries, class).to_string();
        for entry in &entries {
            let listed = entry.health.into();
            stage.put(Event::Told { gateway, server: entry.server, listed });
        }
        if stream.write_all(&http::answer("200 OK", "", &text)).await.is_err() || message.closes() {
            return;
        }
    }
}

/// Waits until the agent has heard of something newer than that version, or for so long; returns its version.
async fn newer(stage: &Shared, gateway: u32, from: usize, hold: Duration) -> usize {
    let until = tokio::time::Instant::now() + hold;
    let mut news = stage.news.subscribe();
    loop {
        let now = stage.clock.now();
        let (version, next) = {
            let mut world = stage.world.borrow_mut();
            (world.discovery.hear(gateway, now), world.discovery.next(gateway))
        };
        if version > from || tokio::time::Instant::now() >= until {
            return version;
        }
        let wake = next.map_or(until, |at| stage.clock.instant(at).min(until));
        tokio::select! {
            () = tokio::time::sleep_until(wake) => {}
            _ = news.changed() => {}
        }
    }
}
