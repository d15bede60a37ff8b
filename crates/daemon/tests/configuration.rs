//! An accepted configuration is in force at all entries within seconds and never reverts, also when
//! tickets conflict, store replies are lost or processes are replaced.

mod support;

use actix_http::Method;
use applefold_standins::{ClientAnswer, PlatformFaults};
use bytes::Bytes;
use serde_json::{json, Value};
use support::cluster::{ClusterPlan, TestCluster};
use support::{run, until};

fn plan(entries: usize) -> ClusterPlan {
    ClusterPlan {
        entries,
        ..ClusterPlan::default()
    }
}

fn team_ticket(number: u64, team: &str, weight: u64) -> Value {
    json!({"ticket": number, "author": "ana", "teams": [{"id": team, "weight": weight}]})
}

fn code_of(answer: &ClientAnswer) -> u64 {
    let body: Value = answer.json().expect("the body is JSON");
    body["error"]["code"].as_u64().unwrap_or_default()
}

async fn weight_at(cluster: &TestCluster, entry: usize, ticket: u64) -> Value {
    let path = format!("/operator/tickets/{ticket}");
    let operator = cluster.entries[entry].operator();
    let answer = operator.call(Method::GET, &path, Bytes::new()).await;
    let answer: Value = answer
        .expect("the entry responds")
        .json()
        .expect("the body is JSON");
    answer["body"]["teams"][0]["weight"].clone()
}

/// Files a ticket until its outcome is known.
async fn file_until_known(cluster: &TestCluster, entry: usize, ticket: &Value) -> ClientAnswer {
    let last = std::cell::RefCell::new(None);
    until(|| async {
        let answer = cluster.entries[entry].file(ticket).await;
        let known = !matches!(code_of(&answer), 3009..=3011);
        last.replace(Some(answer));
        known
    })
    .await;
    last.into_inner().expect("a response came")
}

#[test]
fn concurrent_tickets_with_one_number_have_one_winner() {
    run(async {
        let cluster = TestCluster::start(plan(2)).await;
        for round in 0..5 {
            let number = 10 + round;
            let tickets = [
                team_ticket(number, "race", 1),
                team_ticket(number, "race", 2),
            ];
            let (left, right) = futures_util::join!(
                file_until_known(&cluster, 0, &tickets[0]),
                file_until_known(&cluster, 1, &tickets[1])
            );
            let accepted = [&left, &right]
                .iter()
                .filter(|answer| answer.status == 200)
                .count();
            assert_eq!(accepted, 1, "{} {}", left.text(), right.text());
            let loser = if left.status == 200 { &right } else { &left };
            assert_eq!(code_of(loser), 3007, "{}", loser.text());
        }
    });
}

#[test]
fn same_ticket_filed_twice_is_accepted_once() {
    run(async {
        let cluster = TestCluster::start(plan(2)).await;
        let ticket = team_ticket(5, "twice", 3);
        let first = file_until_known(&cluster, 0, &ticket).await;
        let again = file_until_known(&cluster, 1, &ticket).await;
        let read = |answer: &ClientAnswer| answer.json::<Value>().expect("the body is JSON");
        assert_eq!(read(&first)["repeat"], false);
        assert_eq!(read(&again)["repeat"], true);
        assert_eq!(read(&first)["revision"], read(&again)["revision"]);
    });
}

#[test]
fn late_ticket_with_a_lower_number_is_refused() {
    run(async {
        let cluster = TestCluster::start(plan(1)).await;
        assert_eq!(
            file_until_known(&cluster, 0, &team_ticket(9, "late", 9))
                .await
                .status,
            200
        );
        let late = file_until_known(&cluster, 0, &team_ticket(8, "late", 8)).await;
        assert_eq!((late.status, code_of(&late)), (409, 3008));
        assert_eq!(weight_at(&cluster, 0, 9).await, 9);
    });
}

#[test]
fn lost_store_replies_file_a_ticket_once() {
    run(async {
        let cluster = TestCluster::start(plan(2)).await;
        let platform = cluster.platform_client();
        for number in 20..25 {
            let lose = PlatformFaults {
                lose_answers: 2,
                ..PlatformFaults::default()
            };
            platform.set_faults(&lose).await.expect("the fault is set");
            let answer = file_until_known(&cluster, 0, &team_ticket(number, "lost", number)).await;
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
        let status = cluster.entries[0].status().await;
        assert_eq!(status["revision"], 6, "a ticket was filed twice or lost");
    });
}

#[test]
fn ticket_in_an_outage_is_refused_and_can_be_filed_later() {
    run(async {
        let cluster = TestCluster::start(plan(2)).await;
        let platform = cluster.platform_client();
        let down = PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        };
        platform.set_faults(&down).await.expect("the fault is set");
        let ticket = team_ticket(30, "outage", 3);
        let refused = cluster.entries[0].file(&ticket).await;
        assert_eq!(
            (refused.status, code_of(&refused)),
            (503, 3009),
            "{}",
            refused.text()
        );
        let up = PlatformFaults::default();
        platform.set_faults(&up).await.expect("the fault ends");
        assert_eq!(file_until_known(&cluster, 1, &ticket).await.status, 200);
        cluster.wait_revision(2).await;
    });
}

#[test]
fn replaced_entry_loads_the_newest_revision() {
    run(async {
        let mut cluster = TestCluster::start(plan(2)).await;
        for number in 40..44 {
            let answer =
                file_until_known(&cluster, 0, &team_ticket(number, "newest", number)).await;
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
        cluster.entries[0].process.kill();
        cluster.remove_entry(0).await;
        cluster.add_entry().await;
        cluster.wait_revision(5).await;
        assert_eq!(weight_at(&cluster, 1, 43).await, 43);
    });
}

#[test]
fn revision_never_decreases_while_the_store_is_flapping() {
    run(async {
        let cluster = TestCluster::start(plan(2)).await;
        let platform = cluster.platform_client();
        let mut highest = [0, 0];
        for number in 50..56 {
            let down = PlatformFaults {
                down: number % 2 == 0,
                ..PlatformFaults::default()
            };
            let ticket = team_ticket(number, "back", number);
            if !down.down {
                platform.set_faults(&down).await.expect("the fault is set");
                file_until_known(&cluster, number as usize % 2, &ticket).await;
            }
            platform.set_faults(&down).await.expect("the fault is set");
            for (entry, highest) in cluster.entries.iter().zip(&mut highest) {
                let revision = entry.status().await["revision"]
                    .as_u64()
                    .unwrap_or_default();
                assert!(
                    revision >= *highest,
                    "the revision of {} went back",
                    entry.name
                );
                *highest = revision;
            }
        }
    });
}

#[test]
fn invalid_ticket_gets_all_its_faults_and_changes_nothing() {
    run(async {
        let cluster = TestCluster::start(plan(1)).await;
        let ticket = json!({
            "ticket": 60, "author": "ana", "colour": "red",
            "teams": [{"id": "ok", "weight": 0}, {"weight": 1}],
            "keys": [{"id": "k9", "team": "nobody", "sha256": "00", "state": "active"}],
        });
        for path in ["/operator/tickets", "/operator/tickets/check"] {
            let body = Bytes::from(ticket.to_string());
            let operator = cluster.entries[0].operator();
            let answer = operator
                .call(Method::POST, path, body)
                .await
                .expect("the entry responds");
            assert_eq!(answer.status, 422, "{}", answer.text());
            let value: Value = answer.json().expect("the body is JSON");
            let faults = value["error"]["faults"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            let paths: Vec<&str> = faults
                .iter()
                .filter_map(|row| row["path"].as_str())
                .collect();
            for path in ["colour", "teams[0].weight", "teams[1].id", "keys[0].sha256"] {
                assert!(paths.contains(&path), "missing {path} in {paths:?}");
            }
        }
        assert_eq!(cluster.entries[0].status().await["revision"], 1);
    });
}
