//! Short runs against real entry hosts and stand-ins.

use crocusyard_base::prelude::*;
use crocusyard_load::prelude::*;
use crocusyard_testbed::prelude::*;
use std::time::Duration;

fn plan_for(deployment: &LocalDeployment) -> LoadPlan {
    let plain = &deployment.targets[&TargetName::new("mostrador-1")];
    LoadPlan {
        entries: (0..3).map(|index| deployment.entry(index)).collect(),
        plain_standins: vec![plain.address],
        rate: 60.0,
        span: ClockTime::from_secs(2),
        seed: 11,
        models: vec!["chalk-small".to_owned(), "chalk-large".to_owned()],
        services: vec!["mostrador".to_owned()],
        tenants: vec!["plazas".to_owned(), "catalogue".to_owned()],
        tokens: 12,
        batch_share: 0.2,
        ..LoadPlan::default()
    }
}

/// Guards against wrong, partial and duplicate answers, and calls that run twice, when nothing
/// fails.
#[actix_rt::test]
async fn a_run_without_faults_has_no_defect() {
    let deployment = LocalBuilder::default()
        .start()
        .await
        .expect("the deployment starts");
    let plan = plan_for(&deployment);
    let planned = plan_calls(&plan).len() as u64;
    let report = run_load(plan, |_| ()).await.expect("the load run succeeds");
    assert_eq!(report.defects, DefectCounts::default());
    assert!(report.runs_checked);
    assert_eq!(report.planned, planned);
    assert_eq!(report.whole, planned, "{}", report.to_text());
    assert_eq!(report.classes.len(), 4);
    for class in &report.classes {
        assert!(class.first.count > 0, "{class:?}");
    }
}

/// Guards against lost or repeated tokens and calls that run twice when a host is killed.
#[actix_rt::test]
async fn a_host_that_dies_leaves_no_defect() {
    let deployment = LocalBuilder::default()
        .start()
        .await
        .expect("the deployment starts");
    let plan = plan_for(&deployment);
    let host = deployment.hosts[1].clone();
    actix_rt::spawn(async move {
        actix_rt::time::sleep(Duration::from_millis(700)).await;
        host.kill().await;
    });
    let report = run_load(plan, |_| ()).await.expect("the load run succeeds");
    assert_eq!(report.defects, DefectCounts::default());
    assert!(report.resumes + report.retries > 0, "{}", report.to_text());
    assert_eq!(report.unfinished, 0, "{}", report.to_text());
}
