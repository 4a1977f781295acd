//! The catalogue in force, indexed for the handlers.

use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use crocusyard_routing::prelude::*;
use std::collections::HashMap;
use std::sync::{Arc, RwLock};

/// Indexed catalogue.
#[derive(Debug, Default)]
pub struct CatalogView {
    /// Catalogue.
    pub catalog: Arc<CatalogSpec>,
    work_kinds: HashMap<String, WorkKind>,
    services: HashMap<String, ServiceSpec>,
    tenants: HashMap<String, TenantName>,
    tenants_by_key: HashMap<blake3::Hash, TenantName>,
}

/// Catalogue shared by the handlers and replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct SharedCatalog(Arc<RwLock<Arc<CatalogView>>>);

impl SharedCatalog {
    /// Returns the catalogue in force.
    pub fn current(&self) -> Arc<CatalogView> {
        self.0.read().expect("catalogue lock").clone()
    }

    /// Replaces the catalogue.
    pub fn replace(&self, catalog: Arc<CatalogSpec>) {
        *self.0.write().expect("catalogue lock") = Arc::new(CatalogView::new(catalog));
    }
}

impl CatalogView {
    /// Indexes a catalogue; API keys are read from the environment and kept as hashes only.
    pub fn new(catalog: Arc<CatalogSpec>) -> Self {
        let models = catalog.models.iter().map(|model| {
            let work = WorkKind::Model {
                model: model.name.clone(),
                adapter: None,
            };
            (model.name.to_string(), work)
        });
        let adapters = catalog.adapters.iter().map(|adapter| {
            let work = WorkKind::Model {
                model: adapter.model.clone(),
                adapter: Some(adapter.name.clone()),
            };
            (adapter.name.to_string(), work)
        });
        let tenants = catalog
            .tenants
            .iter()
            .map(|tenant| (tenant.name.to_string(), tenant.name.clone()));
        let tenants_by_key = catalog.tenants.iter().filter_map(|tenant| {
            let key = std::env::var(tenant.key_env.as_deref()?).ok()?;
            Some((blake3::hash(key.as_bytes()), tenant.name.clone()))
        });
        Self {
            work_kinds: models.chain(adapters).collect(),
            services: catalog
                .services
                .iter()
                .map(|service| (service.name.to_string(), service.clone()))
                .collect(),
            tenants: tenants.collect(),
            tenants_by_key: tenants_by_key.collect(),
            catalog: catalog.clone(),
        }
    }

    /// Returns what a model or adapter name asks for.
    pub fn work_kind(&self, name: &str) -> Option<&WorkKind> {
        self.work_kinds.get(name)
    }

    /// Returns a plain service.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns the route of a call to a plain service.
    pub fn route<'a>(
        &self,
        service: &'a ServiceSpec,
        method: &str,
        path: &str,
    ) -> Option<&'a RouteSpec> {
        service.routes.iter().find(|route| {
            (route.method == "*" || route.method.eq_ignore_ascii_case(method))
                && path.starts_with(&route.path)
        })
    }

    /// Returns the tenant of a name.
    pub fn tenant(&self, name: &str) -> Option<&TenantName> {
        self.tenants.get(name)
    }

    /// Returns the tenant of an API key.
    pub fn tenant_of_key(&self, key: &str) -> Option<&TenantName> {
        self.tenants_by_key.get(&blake3::hash(key.as_bytes()))
    }

    /// Returns a class by name, or the one that is served first.
    pub fn class(&self, name: Option<&str>) -> Option<&ClassSpec> {
        match name {
            None => self
                .catalog
                .classes
                .iter()
                .min_by_key(|class| class.priority),
            Some(name) => self
                .catalog
                .classes
                .iter()
                .find(|class| class.name.as_str() == name),
        }
    }
}
