//! Names of models that no configuration has, as callers may invent them.

mod common;

use common::{ms, record, TestHost};

/// Guards against demand reports that grow with the names that callers invent, until they no longer
/// fit into a message.
#[test]
fn unknown_models_are_no_demand() {
    let mut host = TestHost::new(&["m"], vec![record("t1", "a", &[("m", &[])])]);
    for number in 0..50 {
        host.stream(&format!("invented-{number}"), ms(100));
    }
    host.stream("m", ms(200));
    let demands = host.state.demand_report(ms(300));
    let models: Vec<&str> = demands
        .iter()
        .map(|demand| demand.need.model.as_str())
        .collect();
    assert_eq!(models, ["m"]);
}
