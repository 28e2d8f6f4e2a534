#include <almondcart/forwarding/crash_record.hpp>
#include <almondcart/forwarding/draw_record.hpp>
#include <almondcart/forwarding/gateway_registry.hpp>
#include <almondcart/forwarding/log_writer.hpp>

#include <algorithm>
#include <utility>

namespace almondcart::forwarding {

namespace {

/// Increment of the epoch after a rejection, in case the clock that epochs come from was set back.
constexpr std::uint64_t epoch_step = 10'000;

} // namespace

template<typename Record>
log_writer<Record>::log_writer(log_writer_settings settings, std::uint64_t first_epoch, hooks hooks)
    : settings_(settings)
    , hooks_(std::move(hooks))
    , epoch_(first_epoch)
{}

template<typename Record>
void log_writer<Record>::tick()
{
    if (is_fenced_)
        return;
    check_timeout();
    if (hooks_.clock() < next_attempt_)
        return;
    if (pending_ && !pending_->is_in_flight)
        send();
}

template<typename Record>
void log_writer<Record>::write(std::vector<Record> records)
{
    pending_append pending;
    pending.append = {epoch_, next_sequence_, std::move(records)};
    pending.first_sent = hooks_.clock();
    pending_ = std::move(pending);
    send();
}

template<typename Record>
void log_writer<Record>::send()
{
    pending_->is_in_flight = true;
    pending_->last_sent = hooks_.clock();
    ++pending_->sent_count;
    auto const append = pending_->append;
    hooks_.append(
        append,
        [this, epoch = append.epoch, sequence = append.sequence, sent = hooks_.clock()](
            append_result const& result)
        {
            // Ignores responses to further copies of an append that is already complete.
            if (pending_ && pending_->append.epoch == epoch &&
                pending_->append.sequence == sequence)
                handle_result(result, hooks_.clock() - sent);
        });
}

template<typename Record>
void log_writer<Record>::check_timeout()
{
    // Resending is safe, because the log applies each sequence number once.
    constexpr int append_time_factor = 4;
    constexpr int doubling_limit = 5;
    if (!pending_ || !pending_->is_in_flight)
        return;
    // The timeout doubles with each copy, because a slow log has to process all of them.
    auto const first_timeout =
        std::max(settings_.response_timeout, append_time_ * append_time_factor);
    auto const timeout = first_timeout * (1 << std::min(pending_->sent_count - 1, doubling_limit));
    if (hooks_.clock() - pending_->last_sent < timeout)
        return;
    pending_->is_unknown = true;
    pending_->is_in_flight = false;
    next_attempt_ = hooks_.clock();
}

template<typename Record>
void log_writer<Record>::handle_result(append_result const& result, duration time)
{
    pending_->is_in_flight = false;
    if (result.outcome == append_outcome::appended)
    {
        append_time_ = (append_time_ + time) / 2;
        failing_since_.reset();
        backoff_ = duration(0);
    }
    else if (!failing_since_)
    {
        failing_since_ = pending_->first_sent;
    }
    switch (result.outcome)
    {
    case append_outcome::appended:
        complete(write_outcome::appended, result.offset);
        return;
    case append_outcome::rejected:
        schedule_retry();
        if (!pending_->is_unknown)
            complete(write_outcome::not_appended, 0);
        return;
    case append_outcome::unknown:
        pending_->is_unknown = true;
        next_attempt_ = hooks_.clock() + settings_.unknown_backoff;
        return;
    case append_outcome::fenced:
        handle_fenced();
        return;
    case append_outcome::out_of_sequence:
        // Starts a new epoch, in which sequence numbers start anew.
        ++epoch_;
        next_sequence_ = 1;
        has_appended_ = false;
        complete(write_outcome::uncertain, 0);
        return;
    }
}

template<typename Record>
void log_writer<Record>::handle_fenced()
{
    // Before the first append, a higher epoch on the log may be due to a clock that was set back,
    // so higher epochs are tried. Afterwards it belongs to another process.
    is_fenced_ = has_appended_;
    if (!is_fenced_)
        epoch_ += epoch_step;
    bool const is_uncertain = is_fenced_ || pending_->is_unknown;
    complete(is_uncertain ? write_outcome::uncertain : write_outcome::not_appended, 0);
}

template<typename Record>
void log_writer<Record>::schedule_retry()
{
    backoff_ = std::clamp(backoff_ * 2, settings_.initial_backoff, settings_.max_backoff);
    next_attempt_ = hooks_.clock() + backoff_;
}

template<typename Record>
void log_writer<Record>::complete(write_outcome outcome, std::int64_t offset)
{
    auto const append = std::exchange(pending_, std::nullopt)->append;
    if (outcome == write_outcome::appended)
    {
        ++next_sequence_;
        has_appended_ = true;
    }
    hooks_.on_end(outcome, append.records, offset);
}

template<typename Record>
duration log_writer<Record>::stalled_for() const
{
    auto const now = hooks_.clock();
    auto since = failing_since_;
    if (pending_ && (!since || pending_->first_sent < *since))
        since = pending_->first_sent;
    return since ? now - *since : duration(0);
}

template class log_writer<draw_record>;
template class log_writer<crash_record>;
template class log_writer<gateway_record>;

} // namespace almondcart::forwarding
