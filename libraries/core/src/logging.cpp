#include <almondcart/core/logging.hpp>
#include <almondcart/core/status.hpp>

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

#include "bounded_sink.hpp"

namespace almondcart {

namespace {

constexpr std::array<std::pair<std::string_view, spdlog::level::level_enum>, 4> level_names = {{
    {"debug", spdlog::level::debug},
    {"info", spdlog::level::info},
    {"warning", spdlog::level::warn},
    {"error", spdlog::level::err},
}};

} // namespace

bool is_log_level(std::string_view level)
{
    return std::ranges::any_of(level_names, [level](auto const& it) { return it.first == level; });
}

namespace {

absl::Status
install_logger(std::string_view process_name, std::string_view level, spdlog::sink_ptr sink)
{
    for (auto const& [name, value] : level_names)
    {
        if (name != level)
            continue;
        auto logger = std::make_shared<spdlog::logger>(std::string(process_name), std::move(sink));
        logger->set_level(value);
        logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %n %v");
        spdlog::set_default_logger(std::move(logger));
        return absl::OkStatus();
    }
    return make_status(
        result_code::invalid_settings,
        "log_level: expected \"debug\", \"info\", \"warning\" or \"error\"");
}

std::shared_ptr<detail::bounded_sink>& stdout_sink()
{
    static std::shared_ptr<detail::bounded_sink> sink;
    return sink;
}

} // namespace

absl::Status set_up_logging(std::string_view process_name, std::string_view level)
{
    return install_logger(process_name, level, std::make_shared<spdlog::sinks::stderr_sink_st>());
}

absl::Status set_up_stdout_logging(std::string_view process_name, std::string_view level)
{
    stdout_sink() = std::make_shared<detail::bounded_sink>(STDOUT_FILENO);
    return install_logger(process_name, level, stdout_sink());
}

void flush_stdout_logging()
{
    if (stdout_sink() != nullptr)
        stdout_sink()->drain();
}

} // namespace almondcart
