//! Items are given up only by a configuration that is the newest. A store runs its items on simulated time, without a
//! network; the test is its core.

use fennelgauge_batch::{ItemLimits, ItemOutcome};

use super::super::*;
use super::running_store::{job, run_local, RunningStore, GROUP, LONG, SOON};

const NO_ROUTE: &str = "";
const ROUTE: &str =
    r#"{"name":"r","host":"h","path_prefix":"/p/","kind":"batch","timeout_ms":1000,"backend":"s"}"#;
const NESTED_ROUTE: &str =
    r#"{"name":"n","host":"h","path_prefix":"/p/i/","kind":"streaming","timeout_ms":1000,"backend":"s"}"#;
const SHORT_RETENTION: &str = r#"{"name":"r","host":"h","path_prefix":"/p/","kind":"batch","timeout_ms":1000,"backend":"s","retention_s":1}"#;

/// Guards against items that are given up because their route had ended, although it was added again in a configuration that
/// the store does not know yet; the data plane that accepted the job knew neither change.
#[test]
fn items_of_a_route_that_was_removed_and_added_again_are_not_given_up() {
    run_local(async {
        let store = RunningStore::start().await;
        store.configure(6, NO_ROUTE);
        store.pass(LONG).await;
        assert_eq!(store.outcomes(), [], "cut from the core, the store cannot know whether 6 is the newest");
        store.configure(7, ROUTE);
        store.confirm_configuration();
        store.pass(LONG).await;
        assert_eq!(store.outcomes(), [], "the route is in force; there is no server");
    });
}

/// Guards against items that are given up after a retention that was raised in a configuration that the store does not know.
#[test]
fn items_whose_retention_was_raised_are_not_given_up_by_the_old_one() {
    run_local(async {
        let store = RunningStore::start().await;
        store.configure(6, SHORT_RETENTION);
        store.pass(LONG).await;
        assert_eq!(store.outcomes(), [], "cut from the core, the store cannot know whether 6 is the newest");
        store.configure(7, ROUTE);
        store.confirm_configuration();
        store.pass(LONG).await;
        assert_eq!(store.outcomes(), [], "the route sets no retention any more");
    });
}

/// Guards against items that wait for ever although the core confirms that their route has ended or their time is up.
#[test]
fn items_are_given_up_once_the_core_confirms_the_configuration() {
    for routes in [NO_ROUTE, SHORT_RETENTION] {
        run_local(async {
            let store = RunningStore::start().await;
            store.confirm_configuration();
            store.configure(6, routes);
            store.pass(SOON).await;
            assert_eq!(store.outcomes(), [], "confirmed only before the item was to be given up");
            store.confirm_configuration();
            store.pass(SOON).await;
            assert_eq!(store.outcomes(), [ItemOutcome::DeadLettered], "{routes}");
        });
    }
}

/// Guards against items that wait for ever in a store without a configuration, or whose configuration was lost with the disks
/// of the core, so that generations start over.
#[test]
fn items_of_a_store_that_restarted_without_a_configuration_go_by_the_next_one() {
    run_local(async {
        let store = RunningStore::start().await;
        store.pass(LONG).await;
        assert_eq!(store.outcomes(), [], "no configuration");
        store.configure(1, NO_ROUTE);
        store.pass(LONG).await;
        assert_eq!(store.outcomes(), [], "older than the job's, and not confirmed");
        store.confirm_configuration();
        store.pass(SOON).await;
        assert_eq!(store.outcomes(), [ItemOutcome::DeadLettered], "generations start over");
    });
}

/// Guards against items that are given up before the time that their job was accepted with, because the retention of the route
/// was lowered since.
#[test]
fn items_whose_retention_was_lowered_are_not_given_up_before_that_of_the_acceptance() {
    run_local(async {
        const HOUR_MS: u64 = 3_600_000;
        let store = RunningStore::start_with_job(Some(HOUR_MS)).await;
        store.configure(6, SHORT_RETENTION);
        store.pass(SOON).await;
        store.confirm_configuration();
        store.pass(LONG).await;
        assert_eq!(store.outcomes(), [], "the job was accepted with a retention of an hour");
    });
}

/// Guards against items that are given up although their route stands, because a route with a longer prefix was added.
#[test]
fn items_stay_with_the_route_of_their_job_when_another_covers_their_path() {
    run_local(async {
        let store = RunningStore::start().await;
        store.configure(6, &format!("{ROUTE},{NESTED_ROUTE}"));
        store.pass(SOON).await;
        store.confirm_configuration();
        store.pass(LONG).await;
        assert_eq!(store.outcomes(), [], "the route of the job is in force; there is no server");
    });
}

/// Guards against jobs that are accepted beyond a quota that was lowered, because their data plane does not know that yet.
#[test]
fn the_quota_of_a_submission_is_that_of_the_newest_configuration_of_data_plane_and_store() {
    const QUOTA_OF_2: &str = r#"{"name":"r","host":"h","path_prefix":"/p/","kind":"batch","timeout_ms":1000,"backend":"s","max_queued":2}"#;
    run_local(async {
        let is_accepted = |reply| matches!(reply, StoreReply::Accepted);
        let cases = [
            ("the store knows what the data plane knows", 5, QUOTA_OF_2, 1, false),
            ("raised", 6, QUOTA_OF_2, 1, true),
            ("lifted", 6, ROUTE, 1, true),
            ("the route has ended", 6, NO_ROUTE, 1, false),
            ("lowered", 6, QUOTA_OF_2, 1_000, true),
        ];
        for (case, generation, routes, quota_of_data_plane, expected) in cases {
            let store = RunningStore::start().await;
            store.configure(generation, routes);
            store.pass(SOON).await;
            let submit = |id| store.0.submit(1, GROUP, job(id, ItemLimits::default()), quota_of_data_plane);
            assert_eq!(is_accepted(submit("second").await), expected, "{case}");
            let has_no_quota = routes == ROUTE;
            assert_eq!(is_accepted(submit("third").await), has_no_quota, "{case}: the third job");
        }
    });
}

/// Guards against items that are given up at once, or a panic, because times that an operator set beyond all bounds wrap around.
#[test]
fn items_of_a_route_with_boundless_times_are_not_given_up() {
    const BOUNDLESS: &str = r#"{"name":"r","host":"h","path_prefix":"/p/","kind":"batch","timeout_ms":1000,"backend":"s","retention_s":1e30,
        "retries":4294967295,"batch_target_ms":18446744073709551615}"#;
    run_local(async {
        let store = RunningStore::start().await;
        store.configure(6, BOUNDLESS);
        store.pass(SOON).await;
        store.confirm_configuration();
        store.pass(LONG).await;
        assert_eq!(store.outcomes(), [], "there is no server");
    });
}

/// Guards against items that are given up by a configuration that was confirmed only before it became known to the store: the
/// confirmation was that of the configuration before it.
#[test]
fn the_wait_for_a_confirmation_begins_anew_with_each_configuration() {
    run_local(async {
        let store = RunningStore::start().await;
        store.configure(6, NO_ROUTE);
        store.pass(SOON).await;
        store.confirm_configuration();
        store.configure(7, SHORT_RETENTION);
        store.pass(LONG).await;
        assert_eq!(store.outcomes(), [], "7 is not confirmed");
        store.confirm_configuration();
        store.pass(SOON).await;
        assert_eq!(store.outcomes(), [ItemOutcome::DeadLettered]);
    });
}

/// Guards against items that are given up by a confirmation of long ago: it came after the wait had begun, but before the group took
/// changes, and the store has lost touch with the core since.
#[test]
fn items_are_not_given_up_by_a_confirmation_of_long_ago() {
    run_local(async {
        let store = RunningStore::start().await;
        store.configure(6, NO_ROUTE);
        store.pass(SOON).await;
        store.publish_view(2, false);
        store.confirm_configuration();
        store.pass(LONG).await;
        store.publish_view(3, true);
        store.pass(LONG).await;
        assert_eq!(store.outcomes(), [], "6 may have been replaced since it was confirmed");
        store.confirm_configuration();
        store.pass(SOON).await;
        assert_eq!(store.outcomes(), [ItemOutcome::DeadLettered]);
    });
}

/// Guards against results that were decided by a configuration which is replaced before the group takes changes again.
#[test]
fn items_are_given_up_by_the_configuration_of_the_moment_at_which_that_is_recorded() {
    run_local(async {
        let store = RunningStore::start_with_job(None).await;
        store.configure(6, ROUTE);
        store.pass(SOON).await;
        store.publish_view(2, false);
        store.configure(7, NO_ROUTE);
        store.pass(SOON).await;
        store.confirm_configuration();
        store.pass(SOON).await;
        store.configure(8, ROUTE);
        store.publish_view(3, true);
        store.pass(LONG).await;
        assert_eq!(store.outcomes(), [], "the route was added again before the result could be recorded");
    });
}
