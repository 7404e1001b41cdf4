//! The configuration document as the operator sent it, the checks that a new document has to pass, and patches.
//!
//! The document is kept byte for byte, including keys that this version does not know.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Map, Value};

use crate::{Configuration, Route};

/// Why a configuration document or a patch is rejected; each message says how to correct it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentError {
    /// The text is not a JSON object of the expected structure.
    #[error("cannot be read whole: {0}: send one JSON object with generation, routes, services and limits")]
    Malformed(String),
    /// A route refers to a service that the document does not define.
    #[error("route {route}: service {service:?} is not among the services: add it or name another")]
    UnknownService { route: String, service: String },
    /// Two routes have the same host and path prefix.
    #[error("routes {first} and {second} share host and path_prefix: change one of them")]
    DuplicateRoute { first: String, second: String },
    /// A route has neither a `backend` nor a `split` with a positive weight.
    #[error("route {route}: its weights sum to 0: give one service a weight above 0")]
    ZeroWeight { route: String },
    /// A route has no timeout.
    #[error("route {route}: timeout_ms is 0: give the longest time to hold a request")]
    ZeroTimeout { route: String },
    /// The path prefix of a route does not begin and end with a slash.
    #[error("route {route}: path_prefix must begin and end with a slash")]
    InvalidPathPrefix { route: String },
    /// The generation is not higher than that of the configuration in force.
    #[error("generation {given} is not above the current one ({current}): choose a higher one")]
    StaleGeneration { given: u64, current: u64 },
    /// Two tenants have the same API key.
    #[error("tenants {first} and {second} share a key: take it away from one of them")]
    SharedApiKey { first: String, second: String },
}

/// A validated configuration together with the document that it was parsed from.
#[derive(Clone, Debug)]
pub struct Document {
    /// The parsed configuration.
    pub configuration: Configuration,
    /// The document exactly as the operator sent it.
    pub json: Vec<u8>,
}

impl Document {
    /// Parses and validates a complete configuration document that is to replace generation `current`.
    pub fn parse(json: &[u8], current: u64) -> Result<Self, DocumentError> {
        let configuration: Configuration = serde_json::from_slice(json).map_err(malformed)?;
        validate(&configuration, current)?;
        Ok(Self { configuration, json: json.to_vec() })
    }
}

fn malformed(reason: serde_json::Error) -> DocumentError {
    DocumentError::Malformed(reason.to_string())
}

fn validate(configuration: &Configuration, current: u64) -> Result<(), DocumentError> {
    if configuration.generation <= current {
        return Err(DocumentError::StaleGeneration { given: configuration.generation, current });
    }
    let services: BTreeSet<&str> =
        configuration.services.iter().map(|service| service.name.as_str()).collect();
    let mut route_names: BTreeMap<(String, &str), &str> = BTreeMap::new();
    for route in &configuration.routes {
        validate_route(route, &services)?;
        let host_and_prefix = (route.host.to_ascii_lowercase(), route.path_prefix.as_str());
        if let Some(first) = route_names.insert(host_and_prefix, &route.name) {
            return Err(DocumentError::DuplicateRoute {
                first: first.to_owned(),
                second: route.name.clone(),
            });
        }
    }
    validate_api_keys(configuration)
}

fn validate_route(route: &Route, services: &BTreeSet<&str>) -> Result<(), DocumentError> {
    let route_name = || route.name.clone();
    if route.timeout_ms == 0 {
        return Err(DocumentError::ZeroTimeout { route: route_name() });
    }
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        return Err(DocumentError::InvalidPathPrefix { route: route_name() });
    }
    let total_weight: f64 = route.split.iter().map(|part| part.weight).sum();
    if route.backend.is_none() && total_weight <= 0.0 {
        return Err(DocumentError::ZeroWeight { route: route_name() });
    }
    let referenced = route.split.iter().map(|part| part.backend.as_str()).chain(route.backend.as_deref());
    match referenced.into_iter().find(|service| !services.contains(service)) {
        Some(service) => {
            Err(DocumentError::UnknownService { route: route_name(), service: service.to_owned() })
        }
        None => Ok(()),
    }
}

fn validate_api_keys(configuration: &Configuration) -> Result<(), DocumentError> {
    let mut tenant_names: BTreeMap<&str, &str> = BTreeMap::new();
    for tenant in configuration.tenants.iter().flatten() {
        for key in &tenant.api_keys {
            match tenant_names.insert(key, &tenant.name) {
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

/// Applies a patch to the document `current` and returns the new document, which is not validated yet.
///
/// A patch is a JSON object with the new `generation` and the optional objects `remove` (lists of names) and `upsert` (lists of
/// items), applied in this order. An item of `upsert` replaces the one of the same name or is appended. Everything else in the
/// document is kept.
pub fn apply_patch(current: &[u8], patch: &[u8]) -> Result<Vec<u8>, DocumentError> {
    let mut document: Map<String, Value> = serde_json::from_slice(current).map_err(malformed)?;
    let patch: Map<String, Value> = serde_json::from_slice(patch).map_err(malformed)?;
    let generation =
        patch.get("generation").filter(|value| value.is_u64()).ok_or_else(|| invalid_key("generation"))?;
    document.insert("generation".to_owned(), generation.clone());
    for (list, names) in lists_of(&patch, "remove")? {
        remove_named(&mut document, &list, &names);
    }
    for (list, items) in lists_of(&patch, "upsert")? {
        upsert_named(&mut document, &list, items)?;
    }
    serde_json::to_vec(&document).map_err(malformed)
}

fn invalid_key(key: &str) -> DocumentError {
    DocumentError::Malformed(format!("{key} is missing or of the wrong type"))
}

/// Returns the lists in the object under `key` of a patch, with their names; none if the key is absent or null.
fn lists_of(patch: &Map<String, Value>, key: &str) -> Result<Vec<(String, Vec<Value>)>, DocumentError> {
    let Some(value) = patch.get(key).filter(|value| !value.is_null()) else { return Ok(Vec::new()) };
    let object = value.as_object().ok_or_else(|| invalid_key(key))?;
    let named_list = |(name, items): (&String, &Value)| match items.as_array() {
        Some(items) => Ok((name.clone(), items.clone())),
        None => Err(invalid_key(name)),
    };
    object.iter().map(named_list).collect()
}

fn item_name(item: &Value) -> Option<&str> {
    item.get("name").and_then(Value::as_str)
}

fn remove_named(document: &mut Map<String, Value>, list: &str, names: &[Value]) {
    if let Some(Value::Array(items)) = document.get_mut(list) {
        items.retain(|item| !names.iter().any(|name| name.as_str() == item_name(item)));
    }
}

fn upsert_named(
    document: &mut Map<String, Value>,
    list: &str,
    new_items: Vec<Value>,
) -> Result<(), DocumentError> {
    let items = document.entry(list.to_owned()).or_insert_with(|| Value::Array(Vec::new()));
    let items = items.as_array_mut().ok_or_else(|| invalid_key(list))?;
    for new_item in new_items {
        let name = item_name(&new_item).ok_or_else(|| invalid_key("name"))?.to_owned();
        match items.iter_mut().find(|item| item_name(item) == Some(&name)) {
            Some(item) => *item = new_item,
            None => items.push(new_item),
        }
    }
    Ok(())
}
