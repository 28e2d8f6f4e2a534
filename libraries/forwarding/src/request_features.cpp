#include <almondcart/core/hash.hpp>
#include <almondcart/core/text.hpp>
#include <almondcart/forwarding/request_features.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace almondcart::forwarding {

namespace {

constexpr std::array<std::string_view, 2> kind_names{"content", "part"};

/// Number of prompt parts that are taken into account.
constexpr std::size_t part_limit = 16;

} // namespace

std::string_view name_of(feature_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::string request_feature::text() const
{
    return fmt::format("{}:{:016x}", name_of(kind), id);
}

std::optional<request_feature> request_feature::parse(std::string_view text)
{
    constexpr int hexadecimal = 16;
    auto const colon = text.find(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto const kind = std::ranges::find(kind_names, text.substr(0, colon));
    auto const id = parse_integer<std::uint64_t>(text.substr(colon + 1), hexadecimal);
    if (kind == kind_names.end() || !id)
        return std::nullopt;
    return request_feature{static_cast<feature_kind>(kind - kind_names.begin()), *id};
}

feature_list
features_of(client_request const& request, std::string_view caller, std::string_view body)
{
    feature_list features;
    if (request.prompt)
    {
        auto const& parts = request.prompt->parts;
        for (std::size_t i = 0; i + 1 < std::min(parts.size(), part_limit); ++i)
            features.push_back({feature_kind::prompt_part, parts[i].id});
    }
    auto content = hash64(caller);
    for (auto const text :
         {std::string_view(request.method), std::string_view(request.target), body})
        content = hash64(text, content);
    features.push_back({feature_kind::content, content});
    return without_repeats(features);
}

feature_list without_repeats(feature_list const& features)
{
    feature_list result;
    for (auto it = features.begin(); it != features.end(); ++it)
    {
        if (std::find(std::next(it), features.end(), *it) == features.end())
            result.push_back(*it);
    }
    return result;
}

std::string text_of(feature_list const& features)
{
    std::string text;
    for (auto const& it : features)
        text += (text.empty() ? "" : ",") + it.text();
    return text;
}

} // namespace almondcart::forwarding
