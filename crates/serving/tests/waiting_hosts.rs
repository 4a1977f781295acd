//! Load pattern: calls for one model wait at many hosts until an engine has free slots.

mod common;

use common::*;
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;

/// Number of hosts in the system.
const HOSTS: usize = 66;

/// One of many hosts. `own` calls for a model wait at this host until the model is loaded, and
/// `others` calls at each other host.
fn waiting_host(number: usize, own: usize, others: u16) -> TestHost {
    let mut host = TestHost::new(&["m"], vec![record("t1", "a", &[])]);
    host.state
        .reduce(ServingEvent::Hosts(HostShare::equal(HOSTS)), ms(2_000));
    for peer in (0..HOSTS).filter(|peer| *peer != number) {
        host.report_waiting(&format!("host-{peer}"), "m", others, ms(2_000));
    }
    for call in 0..own {
        call_with_timeout(&mut host, &format!("call-{number}-{call}"), ms(2_000));
    }
    host
}

/// Lets a call arrive whose caller waits 9 s for the first event.
fn call_with_timeout(host: &mut TestHost, id: &str, now: ClockTime) -> Vec<ServingEffect> {
    let mut route = route(CallKind::Stream { resumable: false }, 1);
    route.start_timeout = ms(9_000);
    host.call_named(id, route, "m", now).1
}

/// Reports that the only engine has loaded the model.
fn load_model(host: &mut TestHost, now: ClockTime) -> Vec<ServingEffect> {
    let event = ServingEvent::Holdings {
        target: TargetName::new("t1"),
        incarnation: 1,
        models: held(&[("m", &[])]),
    };
    host.state.reduce(event, now)
}

/// Guards against all hosts sending their waiting calls at once to an engine that has just loaded
/// the model; the engine refuses the calls beyond its slots.
#[test]
fn hosts_take_turns_at_an_engine_for_which_calls_wait() {
    let sent: usize = (0..HOSTS)
        .map(|number| {
            let mut host = waiting_host(number, 3, 3);
            sent_to(&load_model(&mut host, ms(3_000))).len()
        })
        .sum();
    let slots = SLOTS as usize;
    assert!(
        (1..=2 * slots).contains(&sent),
        "{sent} of 198 waiting calls sent to {slots} slots"
    );
}

/// Guards against slots that stay unused because some hosts never get a turn.
#[test]
fn every_waiting_host_gets_a_turn() {
    let mut host = waiting_host(0, 1, 1);
    load_model(&mut host, ms(3_000));
    let mut sent = 0;
    for step in 0..600 {
        let now = ms(3_100 + step * 100);
        for peer in 1..HOSTS {
            host.report_waiting(&format!("host-{peer}"), "m", 1, now);
        }
        if step % 90 == 0 {
            sent += sent_to(&call_with_timeout(&mut host, &format!("late-{step}"), now)).len();
        }
        sent += sent_to(&host.state.reduce(ServingEvent::Tick, now)).len();
    }
    assert!(
        sent >= 4,
        "{sent} of 8 calls sent; each had 12 intervals with 8 free slots for 66 waiting calls"
    );
}

/// Guards against a call that waits for a turn although no calls wait at other hosts.
#[test]
fn host_alone_sends_all_that_fits() {
    let mut host = waiting_host(0, 3, 0);
    assert_eq!(sent_to(&load_model(&mut host, ms(3_000))).len(), 3);
}
