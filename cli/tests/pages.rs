//! Tests of the commands that query instances, against pages with fixed content.

use std::net::SocketAddr;
use std::sync::Arc;

use quetzal_lib::coordination::{burn, message};
use quetzal_lib::protocol::{report, status};
use quetzal_lib::transport::http_server;

use crate::commands;

fn fixed_status(instance: u16) -> status::Status {
    let target = |number: u32, fitness: &str, state: &str, flows| status::Target {
        address: format!("10.41.10.{number}:6080").into(),
        fitness: fitness.into(),
        flows,
        homes: 170,
        name: format!("rounds-board-{number}").into(),
        state: state.into(),
        weight_percent: if fitness == "fit" { 100 } else { 0 },
        zone: "mobile-bay".into(),
    };
    status::Status {
        counters: [
            ("packets_forwarded".into(), 1_200),
            ("packets_relayed".into(), 90),
        ]
        .into(),
        entries: 42,
        instance,
        name: instance.to_string().into(),
        peers: vec![
            status::Peer {
                alive: true,
                instance: 1 - instance,
                name: (1 - instance).to_string().into(),
                phase: Some(message::Phase::Serving),
                revision: 7,
                silent_ms: Some(120),
            },
            status::Peer {
                alive: false,
                instance: 2,
                name: "2".into(),
                phase: None,
                revision: 0,
                silent_ms: None,
            },
        ],
        phase: Some(message::Phase::Serving),
        ready: true,
        revision: 7,
        services: vec![status::Service {
            address: "10.41.0.1:80".into(),
            buckets: 512,
            direct: 200,
            flexible_share: 400,
            name: "rounds-board".into(),
            owned: 256,
            protocol: "tcp".into(),
            settling: 0,
            targets: vec![
                target(1, "fit", "active", 31),
                target(2, "failed", "active", 4),
                target(3, "closed", "draining", 2),
            ],
        }],
        settled: true,
        uptime_seconds: 3_600,
        zone: "mobile-bay".into(),
        ..status::Status::default()
    }
}

fn fixed_burn(instance: u16) -> burn::Report {
    let tally = |bad| burn::Tally { bad, total: 1_000 };
    let measure = |kind, budget, bad| burn::Measure {
        budget,
        kind,
        series: vec![tally(0), tally(bad), tally(bad)],
        windows: [tally(bad), tally(bad), tally(bad), tally(bad)],
    };
    burn::Report {
        instances: vec![instance.to_string().into()],
        services: vec![burn::Service {
            measures: vec![
                measure(burn::Kind::Broken, 0.000_5, 8),
                measure(burn::Kind::Imbalance, 0.05, 10),
                measure(burn::Kind::Refused, 0.01, 0),
                measure(burn::Kind::Sheet, 0.05, 400),
            ],
            name: "rounds-board".into(),
        }],
        since_seconds: 3_600 + u64::from(instance),
        unreachable: Vec::new(),
        zones: vec![["mobile-bay", "delta-west"][usize::from(instance)].into()],
    }
}

fn fixed_flow() -> status::Flow {
    let address = |text: &str| text.parse::<SocketAddr>().ok();
    status::Flow {
        bucket: 17,
        copies: 2,
        entry_target: address("10.41.10.5:6080"),
        fallback: address("10.41.10.1:6080"),
        home: address("10.41.10.1:6080"),
        mode: "tracked, owned here".into(),
        owner: 0,
        service: "rounds-board".into(),
        settling: false,
    }
}

/// Serves the pages of one instance at a loopback address of its own. The port is outside the
/// ephemeral port range, so no outgoing connection can occupy it.
fn serve(instance: u16) -> SocketAddr {
    let address = SocketAddr::from(([127, 45, 0, instance as u8 + 1], 8_000));
    http_server::serve(
        &[address],
        Arc::new(move |request| match request.path.as_str() {
            "/status" => http_server::json(&fixed_status(instance)),
            "/burn" => http_server::json(&fixed_burn(instance)),
            "/flow" => http_server::json(&fixed_flow()),
            _ => http_server::text(404, ""),
        }),
    )
    .expect("a page for the test");
    address
}

#[test]
fn commands_show_what_instances_answer() {
    let list = format!("{},{}", serve(0), serve(1));
    for command in ["status", "services", "targets", "instances"] {
        let text = commands::run(&[command, "--instances", &list]);
        insta::assert_snapshot!(format!("show_{command}"), text);
    }
    let text = commands::run(&[
        "flows",
        "tcp",
        "10.9.0.1:4000",
        "10.41.0.1:80",
        "--instances",
        "127.45.0.1:8000",
    ]);
    insta::assert_snapshot!("show_flows", text);
    let with_unreachable = format!("{list},127.0.0.1:9");
    let text = commands::run(&["report", "burn", "--instances", &with_unreachable]);
    insta::assert_snapshot!("show_report_burn", text);
    let text = commands::run(&["status", "--instances", &with_unreachable]);
    assert!(text.ends_with("exit status 5\n"), "{text}");
    for form in ["json", "html"] {
        let text = commands::run(&["report", "burn", "--instances", &list, "--output", form]);
        assert!(
            text.contains("rounds-board") && text.ends_with("exit status 0\n"),
            "{text}"
        );
    }
}

#[test]
fn no_instance_answers() {
    insta::assert_snapshot!(commands::run(&["status", "--instances", "127.0.0.1:9"]));
}

#[test]
fn the_burn_page_is_one_file() {
    let page = report::html(&fixed_burn(0));
    assert!(
        !page.contains("src=") && !page.contains("href="),
        "nothing is loaded from elsewhere"
    );
    insta::assert_snapshot!(page);
}

#[test]
fn metrics_are_in_the_text_format() {
    insta::assert_snapshot!(status::metrics(&fixed_status(0)));
}
