#include <almondcart/core/hash.hpp>
#include <almondcart/forwarding/answered_features.hpp>

#include <utility>

namespace almondcart::forwarding {

namespace {

std::uint64_t hash_of(std::string_view service, request_feature const& feature)
{
    return hash64(name_of(feature.kind), hash64(service, feature.id));
}

} // namespace

answered_features::answered_features(answered_features_settings settings, clock_function clock)
    : settings_(settings)
    , clock_(std::move(clock))
    , rotated_at_(clock_())
{}

void answered_features::add(std::string_view service, request_feature const& feature)
{
    rotate_if_due();
    newer_.insert(hash_of(service, feature));
}

bool answered_features::contains(std::string_view service, request_feature const& feature)
{
    rotate_if_due();
    auto const hash = hash_of(service, feature);
    return newer_.contains(hash) || older_.contains(hash);
}

void answered_features::rotate_if_due()
{
    auto const now = clock_();
    auto const age = now - rotated_at_;
    if (newer_.size() < settings_.capacity / 2 && age < settings_.retention / 2)
        return;
    older_ = std::exchange(newer_, {});
    // After a pause without requests both generations are too old.
    if (age >= settings_.retention)
        older_.clear();
    rotated_at_ = now;
}

} // namespace almondcart::forwarding
