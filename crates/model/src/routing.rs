//! Finds the route and the tenant of a request.

use std::collections::HashMap;
use std::rc::Rc;

use crate::{Configuration, Route, Tenant};

/// A configuration made ready for look-ups.
#[derive(Debug)]
pub struct RoutingTable {
    pub configuration: Configuration,
    /// By host: routes, longest prefix first.
    hosts: HashMap<String, Vec<Rc<Route>>>,
    keys: HashMap<String, Rc<Tenant>>,
    keys_needed: bool,
}

/// What a request is allowed to use.
#[derive(Clone, Debug)]
pub struct Access {
    pub route: Rc<Route>,
    /// None on a public route, or where no keys are needed.
    pub tenant: Option<Rc<Tenant>>,
}

impl Access {
    /// The rank of the request: the tenant's before the route's; 0 is highest.
    pub fn priority(&self) -> u8 {
        self.tenant.as_ref().and_then(|tenant| tenant.priority).unwrap_or(self.route.priority)
    }
}

/// Why a request may not go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    NoRoute,
    UnknownKey,
}

impl RoutingTable {
    pub fn new(configuration: Configuration) -> Self {
        let mut hosts: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(Rc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut keys = HashMap::new();
        for tenant in configuration.tenants.iter().flatten() {
            let tenant = Rc::new(tenant.clone());
            for key in &tenant.api_keys {
                keys.insert(key.clone(), tenant.clone());
            }
        }
        let keys_needed = configuration.tenants.is_some();
        Self { configuration, hosts, keys, keys_needed }
    }

    /// The route of a host (a port in it does not count) and a path (without its query).
    pub fn find_route(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let routes = self.routes_for_host(host)?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix)).cloned()
    }

    /// All routes of a host.
    pub fn routes_for_host(&self, host: &str) -> Option<&Vec<Rc<Route>>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        self.hosts.get(&host.to_ascii_lowercase())
    }

    /// The tenant that holds a key.
    pub fn tenant_by_key(&self, key: &str) -> Option<Rc<Tenant>> {
        self.keys.get(key).cloned()
    }

    /// Checks a request by its host, path and the value of its `Authorization`.
    pub fn authorize(&self, host: &str, path: &str, authorization: Option<&str>) -> Result<Access, Denial> {
        let route = self.find_route(host, path).ok_or(Denial::NoRoute)?;
        if route.public || !self.keys_needed {
            return Ok(Access { route, tenant: None });
        }
        let tenant = self.tenant_from_authorization(authorization).ok_or(Denial::UnknownKey)?;
        Ok(Access { route, tenant: Some(tenant) })
    }

    /// The tenant of an `Authorization` of the form `Bearer KEY`.
    pub fn tenant_from_authorization(&self, authorization: Option<&str>) -> Option<Rc<Tenant>> {
        let (scheme, key) = authorization?.split_once(' ')?;
        if !scheme.eq_ignore_ascii_case("bearer") {
            return None;
        }
        self.tenant_by_key(key.trim())
    }
}
