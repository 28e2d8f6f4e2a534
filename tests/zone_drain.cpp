#include <almondcart/forwarding/drained_zones.hpp>
#include <almondcart/forwarding/upstream_picker.hpp>
#include <almondcart/platform/operator_records.hpp>

#include <criterion/criterion.h>

#include <map>
#include <string>
#include <vector>

using namespace almondcart;
using namespace almondcart::forwarding;

namespace {

upstream_entry in_zone(std::string const& id, std::string const& zone)
{
    return {id, "models", "10.0.0.1:80", zone, 8, false, 1};
}

struct drain_fixture
{
    drain_fixture()
    {
        drained.on_change(
            [this](drained_zones::change const& it)
            { changes.push_back(it.zone + (it.is_drained ? " drained" : " ended")); });
    }

    std::string pick()
    {
        auto const it = picker.pick({"models", nullptr, nullptr});
        return it == nullptr ? "" : it->entry.id;
    }

    manual_clock clock;
    upstream_directory directory;
    drained_zones drained;
    std::vector<std::string> changes;
    upstream_picker picker{
        clock.function(),
        {.availability_zone = "a", .seed = 1},
        directory,
        &drained};
};

} // namespace

// Guards against a drain that ends because records behind a snapshot are delivered again, among
// them the removal that came before the drain.
Test(drained_zones, an_older_record_does_not_end_a_drain)
{
    drain_fixture it;
    it.drained.replace_all({{"a", 12}}, 10);
    it.drained.apply("a", false, 11);
    cr_assert(it.drained.contains("a"));
    it.drained.apply("a", true, 12);
    it.drained.apply("a", false, 13);
    cr_assert_not(it.drained.contains("a"));
    it.drained.apply("a", true, 12);
    cr_assert_not(it.drained.contains("a"));
    cr_assert_eq(it.changes, (std::vector<std::string>{"a drained", "a ended"}));
}

// Guards against a drain that outlives its key when the history is lost, and against a change that
// is reported although nothing changed.
Test(drained_zones, a_snapshot_replaces_what_is_known)
{
    drain_fixture it;
    it.drained.apply("a", true, 1);
    it.drained.apply("b", true, 2);
    it.drained.replace_all({{"b", 2}, {"c", 7}}, 8);
    cr_assert_not(it.drained.contains("a"));
    cr_assert(it.drained.contains("b"));
    cr_assert(it.drained.contains("c"));
    cr_assert_eq(it.drained.size(), 2);
    cr_assert_eq(
        it.changes, (std::vector<std::string>{"a drained", "b drained", "c drained", "a ended"}));
}

// Guards against the choice of an upstream in a drained zone: the nearest one, the last one, one
// whose block ends first, and one that registers during the drain.
Test(zone_drain, an_upstream_in_a_drained_zone_is_not_chosen)
{
    drain_fixture it;
    it.directory.apply("i-1", in_zone("i-1", "a"));
    it.directory.apply("i-2", in_zone("i-2", "b"));
    cr_assert_eq(it.pick(), "i-1");
    it.drained.apply("a", true, 1);
    cr_assert_eq(it.pick(), "i-2");
    cr_assert_not(it.picker.is_drained("models"));
    it.drained.apply("b", true, 2);
    cr_assert_eq(it.pick(), "");
    cr_assert(it.picker.is_drained("models"));
    for (int n = 0; n < 10; ++n)
        it.picker.record(*it.directory.all().at("i-2"), attempt_result::lost);
    cr_assert_eq(it.pick(), "");
    it.directory.apply("i-3", in_zone("i-3", "a"));
    cr_assert_eq(it.pick(), "");
    it.drained.apply("a", false, 3);
    cr_assert_neq(it.pick(), "");
}

// Guards against a refusal that names a pause of an upstream that would get no request anyway.
Test(zone_drain, a_pause_in_a_drained_zone_does_not_count)
{
    drain_fixture it;
    it.directory.apply("i-1", in_zone("i-1", "a"));
    it.directory.apply("i-2", in_zone("i-2", "b"));
    it.directory.record_pause(it.directory.all().at("i-1"), it.clock.now() + duration(100));
    it.directory.record_pause(it.directory.all().at("i-2"), it.clock.now() + duration(900));
    it.drained.apply("a", true, 1);
    cr_assert(*it.picker.common_pause_end("models") == it.clock.now() + duration(900));
    it.drained.apply("b", true, 2);
    cr_assert_not(it.picker.common_pause_end("models").has_value());
    cr_assert(it.picker.is_drained("models"));
}

// Guards against a zone that stays open because its value is odd, and against other keys that
// drain a zone.
Test(zone_drain, the_key_alone_drains_a_zone)
{
    cr_assert_eq(*platform::drained_zone_of("evacuate/zone-1"), "zone-1");
    cr_assert_eq(*platform::drained_zone_of("evacuate/a/b"), "a/b");
    for (auto const* key : {"evacuate/", "evacuate", "config", "evacuated/zone-1", ""})
        cr_assert_not(platform::drained_zone_of(key).has_value());
    cr_assert(platform::is_drain_value("{}"));
    for (auto const* value : {"", "{", "[]", "true", "no"})
        cr_assert_not(platform::is_drain_value(value));
}
