//! Placement of streams among backend servers of several software versions.

mod direct_support;

use std::collections::BTreeSet;

use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::direct::{
    Placement, PlacementPolicy, PlacementRequest, PlacementStage, SendEvent, ServerChange,
    ServerTable, SoftwareVersion, StreamBinding, VersionBound,
};
use applefold_core::routing::BackendRole::Plain;
use applefold_core::unit::{TimePoint, TimeSpan};
use direct_support::{backend, domain, record_loads, service, spec};

const NOW: TimePoint = TimePoint(10_000_000);

fn version(text: &str) -> SoftwareVersion {
    text.parse().unwrap()
}

/// Returns a table of backend servers with these versions; an empty one is unknown.
fn table(versions: &[&str]) -> ServerTable {
    let mut table = ServerTable::default();
    for (number, text) in versions.iter().enumerate() {
        let mut spec = spec(number, Plain);
        spec.version = text.parse().ok();
        table.upsert(spec, TimePoint::START);
    }
    table
}

fn place(
    table: &ServerTable,
    versions: VersionBound<'_>,
    excluded: &[usize],
) -> Result<Placement, CallRefusal> {
    let service = service();
    let excluded: BTreeSet<_> = excluded.iter().map(|number| backend(*number)).collect();
    let request = PlacementRequest {
        name: "r-1",
        service: &service,
        prompt: None,
        stage: PlacementStage::Unsplit,
        excluded: &excluded,
        versions,
        time_left: TimeSpan::from_secs(2),
        latency_objective: TimeSpan::from_millis(300),
        competitor: None,
    };
    PlacementPolicy::default().choose(table, &request, &domain(), NOW)
}

/// Guards against a resumed stream at a software version other than the one that began it.
#[test]
fn a_resumed_stream_is_placed_at_the_version_that_began_it() {
    let mut engines = table(&["v1", "v2", "v2", "", "v1"]);
    record_loads(&mut engines, &[(0, 60, 0), (4, 50, 0)], NOW);
    let (old, new) = (version("v1"), version("v2"));
    let placed = place(&engines, VersionBound::Only(&old), &[]).unwrap();
    assert_eq!(
        (placed.backend, placed.version.as_ref()),
        (backend(4), Some(&old))
    );
    let placed = place(&engines, VersionBound::Only(&old), &[4]).unwrap();
    assert_eq!(placed.backend, backend(0));
    let placed = place(&engines, VersionBound::Only(&new), &[1]).unwrap();
    assert_eq!(placed.backend, backend(2));
    let refusal = place(&engines, VersionBound::Only(&old), &[0, 4]).unwrap_err();
    assert_eq!(refusal.code, ResultCode::BackendMissing);
    let refusal = place(&engines, VersionBound::Only(&version("v3")), &[]).unwrap_err();
    assert_eq!(
        refusal,
        CallRefusal::permanent(ResultCode::VersionMissing),
        "a version that no backend server has"
    );
}

/// Guards against an unknown version that counts as the same as another unknown one.
#[test]
fn an_unknown_version_resumes_no_stream() {
    let begun = StreamBinding::begun_at(None);
    let avoided = BTreeSet::new();
    assert_eq!(
        begun.bound(&avoided).map(|_| ()).unwrap_err(),
        CallRefusal::permanent(ResultCode::OriginUnknown)
    );
    let engines = direct_support::table(&[Plain, Plain]);
    assert!(place(&engines, VersionBound::Any, &[]).is_ok());
    assert!(place(&engines, VersionBound::Only(&version("v1")), &[]).is_err());
}

/// Guards against a stream that begins at a version that other entries do not know yet, and against
/// a refusal where only such a version serves.
#[test]
fn a_new_version_is_avoided_while_another_one_serves() {
    let avoided: BTreeSet<_> = [version("v2")].into();
    let mut engines = table(&["v1", "v2"]);
    record_loads(&mut engines, &[(0, 60, 0)], NOW);
    let bound = VersionBound::Avoid(&avoided);
    assert_eq!(place(&engines, bound, &[]).unwrap().backend, backend(0));
    assert_eq!(place(&engines, bound, &[0]).unwrap().backend, backend(1));
    engines.apply(&backend(0), SendEvent::Ejected, NOW);
    assert_eq!(place(&engines, bound, &[]).unwrap().backend, backend(1));
    engines.apply(&backend(0), SendEvent::ListedDraining, NOW);
    assert_eq!(place(&engines, bound, &[]).unwrap().backend, backend(1));
}

/// Guards against a backend server that is taken for its earlier process of another version.
#[test]
fn a_changed_version_is_a_restart() {
    let mut engines = table(&["v1"]);
    let mut changed = spec(0, Plain);
    changed.version = Some(version("v2"));
    assert_eq!(engines.upsert(changed, NOW), Some(ServerChange::Restarted));
}
