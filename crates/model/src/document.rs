//! The configuration as the operator sent it, kept whole, with the checks that an order has to pass.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Map, Value};

use crate::{Configuration, Route};

/// Why an order was not a configuration; each message names the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentError {
    #[error("cannot be read whole: {0}: send one JSON object with generation, routes, services and limits")]
    Malformed(String),
    #[error("route {route}: service {service:?} is not among the services: add it or name another")]
    UnknownService { route: String, service: String },
    #[error("routes {first} and {second} share host and path_prefix: change one of them")]
    DuplicateRoute { first: String, second: String },
    #[error("route {route}: its weights sum to 0: give one service a weight above 0")]
    ZeroWeight { route: String },
    #[error("route {route}: timeout_ms is 0: give the longest time to hold a request")]
    ZeroTimeout { route: String },
    #[error("route {route}: path_prefix must begin and end with a slash")]
    InvalidPathPrefix { route: String },
    #[error("generation {given} is not above the current one ({current}): choose a higher one")]
    StaleGeneration { given: u64, current: u64 },
    #[error("tenants {first} and {second} share a key: take it away from one of them")]
    SharedApiKey { first: String, second: String },
}

/// A checked configuration with the bytes it came in.
#[derive(Clone, Debug)]
pub struct Document {
    pub configuration: Configuration,
    pub json: Vec<u8>,
}

impl Document {
    /// Reads and checks a whole configuration that is to follow generation `current`.
    pub fn parse(json: &[u8], current: u64) -> Result<Self, DocumentError> {
        let configuration: Configuration = serde_json::from_slice(json).map_err(unreadable)?;
        check(&configuration, current)?;
        Ok(Self { configuration, json: json.to_vec() })
    }
}

fn unreadable(reason: serde_json::Error) -> DocumentError {
    DocumentError::Malformed(reason.to_string())
}

fn check(configuration: &Configuration, current: u64) -> Result<(), DocumentError> {
    if configuration.generation <= current {
        return Err(DocumentError::StaleGeneration { given: configuration.generation, current });
    }
    let services: BTreeSet<&str> =
        configuration.services.iter().map(|service| service.name.as_str()).collect();
    let mut places: BTreeMap<(String, &str), &str> = BTreeMap::new();
    for route in &configuration.routes {
        check_route(route, &services)?;
        let place = (route.host.to_ascii_lowercase(), route.path_prefix.as_str());
        if let Some(first) = places.insert(place, &route.name) {
            return Err(DocumentError::DuplicateRoute {
                first: first.to_owned(),
                second: route.name.clone(),
            });
        }
    }
    check_keys(configuration)
}

fn check_route(route: &Route, services: &BTreeSet<&str>) -> Result<(), DocumentError> {
    let name = || route.name.clone();
    if route.timeout_ms == 0 {
        return Err(DocumentError::ZeroTimeout { route: name() });
    }
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        return Err(DocumentError::InvalidPathPrefix { route: name() });
    }
    let weight: f64 = route.split.iter().map(|part| part.weight).sum();
    if route.backend.is_none() && weight <= 0.0 {
        return Err(DocumentError::ZeroWeight { route: name() });
    }
    let named = route.split.iter().map(|part| part.backend.as_str()).chain(route.backend.as_deref());
    match named.into_iter().find(|service| !services.contains(service)) {
        Some(service) => Err(DocumentError::UnknownService { route: name(), service: service.to_owned() }),
        None => Ok(()),
    }
}

fn check_keys(configuration: &Configuration) -> Result<(), DocumentError> {
    let mut holders: BTreeMap<&str, &str> = BTreeMap::new();
    for tenant in configuration.tenants.iter().flatten() {
        for key in &tenant.api_keys {
            match holders.insert(key, &tenant.name) {
                Some(first) if first != tenant.name => {
                    return Err(DocumentError::SharedApiKey {
                        first: first.to_owned(),
                        second: tenant.name.clone(),
                    })
                }
                _ => {}
            }
        }
    }
    Ok(())
}

/// The configuration that a patch makes of `current`: named items replaced, added or removed.
pub fn apply_patch(current: &[u8], patch: &[u8]) -> Result<Vec<u8>, DocumentError> {
    let mut whole: Map<String, Value> = serde_json::from_slice(current).map_err(unreadable)?;
    let patch: Map<String, Value> = serde_json::from_slice(patch).map_err(unreadable)?;
    let generation =
        patch.get("generation").filter(|value| value.is_u64()).ok_or_else(|| missing("generation"))?;
    whole.insert("generation".to_owned(), generation.clone());
    for (list, names) in lists(&patch, "remove")? {
        remove_named(&mut whole, &list, &names);
    }
    for (list, items) in lists(&patch, "upsert")? {
        upsert_named(&mut whole, &list, items)?;
    }
    serde_json::to_vec(&whole).map_err(unreadable)
}

fn missing(key: &str) -> DocumentError {
    DocumentError::Malformed(format!("{key} is missing or of the wrong type"))
}

fn lists(patch: &Map<String, Value>, key: &str) -> Result<Vec<(String, Vec<Value>)>, DocumentError> {
    let Some(value) = patch.get(key).filter(|value| !value.is_null()) else { return Ok(Vec::new()) };
    let object = value.as_object().ok_or_else(|| missing(key))?;
    let list = |(name, items): (&String, &Value)| match items.as_array() {
        Some(items) => Ok((name.clone(), items.clone())),
        None => Err(missing(name)),
    };
    object.iter().map(list).collect()
}

fn named(item: &Value) -> Option<&str> {
    item.get("name").and_then(Value::as_str)
}

fn remove_named(whole: &mut Map<String, Value>, list: &str, names: &[Value]) {
    if let Some(Value::Array(present)) = whole.get_mut(list) {
        present.retain(|item| !names.iter().any(|name| name.as_str() == named(item)));
    }
}

fn upsert_named(whole: &mut Map<String, Value>, list: &str, items: Vec<Value>) -> Result<(), DocumentError> {
    let present = whole.entry(list.to_owned()).or_insert_with(|| Value::Array(Vec::new()));
    let present = present.as_array_mut().ok_or_else(|| missing(list))?;
    for item in items {
        let name = named(&item).ok_or_else(|| missing("name"))?.to_owned();
        match present.iter_mut().find(|there| named(there) == Some(&name)) {
            Some(there) => *there = item,
            None => present.push(item),
        }
    }
    Ok(())
}
