use super::*;

/// Guards against a watcher that asks again without end and without a pause, because it cannot apply the configuration that a
/// source has.
#[test]
fn a_source_whose_configuration_cannot_be_applied_is_left_after_a_pause() {
    let cases = [
        ("a later view", (true, true, true), SourceOutcome::LaterView),
        ("nothing new", (false, true, true), SourceOutcome::Confirmed),
        ("not confirmed", (false, false, true), SourceOutcome::Unconfirmed),
        ("not applied, from a confirmed source", (false, true, false), SourceOutcome::Unconfirmed),
        ("not applied, with a later view", (true, true, false), SourceOutcome::Unconfirmed),
    ];
    for (case, (has_later_view, is_confirmed, is_applied), expected) in cases {
        assert_eq!(outcome_of_reply(has_later_view, is_confirmed, is_applied), expected, "{case}");
    }
}
