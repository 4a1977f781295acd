//! The catalogue in force, indexed for lookups by the HTTP handlers.

use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use crocusyard_routing::prelude::*;
use std::collections::HashMap;
use std::sync::{Arc, RwLock};

/// A catalogue with indexes by name and by API key.
#[derive(Debug, Default)]
pub struct CatalogView {
    /// The catalogue itself.
    pub catalog: Arc<CatalogSpec>,
    work_kinds: HashMap<String, WorkKind>,
    services: HashMap<String, ServiceSpec>,
    tenants: HashMap<String, TenantName>,
    tenants_by_key: HashMap<blake3::Hash, TenantName>,
}

/// The catalogue view that all handlers share. A new catalogue replaces the whole view.
#[derive(Clone, Debug, Default)]
pub struct SharedCatalog(Arc<RwLock<Arc<CatalogView>>>);

impl SharedCatalog {
    /// Returns the view of the catalogue in force.
    pub fn current(&self) -> Arc<CatalogView> {
        self.0
            .read()
            .expect("the catalogue lock is poisoned")
            .clone()
    }

    /// Indexes a new catalogue and replaces the view.
    pub fn replace(&self, catalog: Arc<CatalogSpec>) {
        *self.0.write().expect("the catalogue lock is poisoned") =
            Arc::new(CatalogView::new(catalog));
    }
}

impl CatalogView {
    /// Indexes a catalogue. API keys are read from the environment, and only their hashes are kept.
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

    /// Returns the kind of work that a request for a model or adapter name needs.
    pub fn work_kind(&self, name: &str) -> Option<&WorkKind> {
        self.work_kinds.get(name)
    }

    /// Returns a plain service by name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns the first route of a plain service that matches the method and the path prefix.
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

    /// Returns a tenant by name.
    pub fn tenant(&self, name: &str) -> Option<&TenantName> {
        self.tenants.get(name)
    }

    /// Returns the tenant that an API key belongs to.
    pub fn tenant_of_key(&self, key: &str) -> Option<&TenantName> {
        self.tenants_by_key.get(&blake3::hash(key.as_bytes()))
    }

    /// Returns a class by name; without a name, the class that is served first.
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
