// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/owner_run.hpp"

#include <QPointer>
#include <QTimer>
#include <sstream>
#include <utility>

#include "pathcleat/host/upstream_protocol.hpp"

namespace pathcleat {
namespace {

constexpr Duration kRetryAfterNoOwner{1'000'000};

std::chrono::milliseconds RoundUp(Duration duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

class OwnerRun : public RunHandle,
                 public std::enable_shared_from_this<OwnerRun> {
 public:
  OwnerRun(Shared& shared,
           UpstreamPool& pool,
           QObject* context,
           RunRequestPtr request,
           RunCallback callback)
      : shared_(shared),
        pool_(pool),
        context_(context),
        request_(std::move(request)),
        callback_(std::move(callback)) {}

  void Start() {
    submitted_ = BootClock::now();
    const WorkItem item{request_->id, request_->service,
                        request_->kind.priority, request_->deadline};
    shared_.owner.Submit(
        item, context_,
        [self = shared_from_this()](const SlotDecision& decision) {
          self->OnDecision(decision);
        });
  }

  void Cancel() override {
    if (!callback_) {
      return;
    }
    if (connection_ == nullptr) {
      cancelled_ = true;
      if (shared_.owner.Cancel(request_->id)) {
        Finish(NotRun(RefusalReason::kCancelled, {}, "taken back unsent"));
      }
      return;
    }
    if (request_->kind.repeatable) {
      Abandon("cancelled: the caller left");
    }
  }

 private:
  void OnDecision(const SlotDecision& decision) {
    if (const auto* refusal = std::get_if<Refusal>(&decision)) {
      Finish(
          NotRun(refusal->reason, refusal->retry_after,
                 Note(std::string("refused: ") + ToString(refusal->reason))));
      return;
    }
    token_ = std::get<SlotToken>(decision);
    const SeatIndex seat = shared_.owner.SeatOf(token_.upstream);
    const Time now = BootClock::now();
    if (cancelled_ || now >= request_->deadline) {
      ReleaseUnused(RefusalReason::kTooLate);
    } else if (!shared_.owner.permits().MaySend(seat, now)) {
      ReleaseUnused(RefusalReason::kNoOwner);
    } else {
      Send(now);
    }
  }

  void ReleaseUnused(RefusalReason reason) {
    shared_.owner.Release(token_, SlotUse::kUnused, Duration::zero());
    Finish(NotRun(reason, kRetryAfterNoOwner,
                  Note(std::string("slot not used: ") + ToString(reason))));
  }

  void Send(Time now) {
    sent_ = now;
    const Upstream& upstream = shared_.settings.deployment.At(token_.upstream);
    const Duration left = request_->deadline - now;
    const Duration margin = shared_.settings.deployment.timing.release_margin;
    connection_ = pool_.Take(token_.upstream);
    // The connection's own time ends only when the upstream, which was told
    // the deadline, must have let go; the caller is told at the deadline.
    connection_->Send(ToUpstream(request_->http, upstream, request_->id, left),
                      RoundUp(left + margin),
                      [self = shared_from_this()](const ClientResult& result) {
                        self->OnResult(result);
                      });
    QTimer::singleShot(RoundUp(left), context_, [self = shared_from_this()] {
      if (self->callback_) {
        self->Abandon("no answer by the deadline");
      }
    });
  }

  // The slot stays filled: OnResult frees it when the upstream lets go.
  void Abandon(const std::string& why) {
    abandoned_ = true;
    if (request_->kind.repeatable && connection_ != nullptr) {
      shared_.events.Record(EventCode::kSlotHeldAfterAbandon, UpstreamName(),
                            why);
      connection_->Cancel();
    }
    Finish(MayHaveRun(Note(why)));
  }

  void OnResult(const ClientResult& result) {
    const Duration latency = BootClock::now() - sent_;
    HttpClientConnection* connection = std::exchange(connection_, nullptr);
    pool_.GiveBack(token_.upstream, connection);
    const bool answered = result.outcome == ClientOutcome::kAnswered;
    const bool unsent = result.outcome == ClientOutcome::kNotSent;
    if (answered && SaysLeaving(result.response)) {
      shared_.owner.SetLeaving(token_.upstream, LeavingSource::kUpstream, true);
    }
    if (unsent && !abandoned_) {
      shared_.owner.SetHealthy(token_.upstream, false);
    }
    const SlotUse use = answered ? SlotUse::kAnswered : SlotUse::kFailed;
    shared_.owner.Release(token_, unsent ? SlotUse::kUnused : use, latency);
    Finish(ToRunResult(result));
  }

  RunResult ToRunResult(const ClientResult& result) {
    switch (result.outcome) {
      case ClientOutcome::kAnswered: {
        RunResult run;
        run.outcome = RunOutcome::kAnswered;
        run.response = result.response;
        run.response.headers = EndToEndHeaders(result.response.headers);
        run.note = Note("answered with status " +
                        std::to_string(result.response.status));
        return run;
      }
      case ClientOutcome::kNotSent:
        return NotRun(RefusalReason::kNoCapacity, kRetryAfterNoOwner,
                      Note("nothing sent: " + result.detail));
      case ClientOutcome::kBroken:
      case ClientOutcome::kTimedOut:
        break;
    }
    shared_.events.Record(EventCode::kAnswerBroken, ToString(request_->id),
                          "from " + UpstreamName() + ": " + result.detail);
    return MayHaveRun(Note("broken: " + result.detail));
  }

  const std::string& UpstreamName() const {
    return shared_.settings.deployment.At(token_.upstream).name;
  }

  std::string Note(const std::string& end) const {
    std::ostringstream note;
    note << "owner " << shared_.settings.self().name;
    if (token_.serial != 0) {
      note << ", upstream " << UpstreamName() << " after "
           << ToMilliseconds(sent_ == Time{} ? Duration::zero()
                                             : sent_ - submitted_)
           << " ms of waiting";
    }
    note << ": " << end;
    return note.str();
  }

  void Finish(RunResult result) {
    if (const auto callback = std::exchange(callback_, nullptr)) {
      result.load = ToServiceLoad(request_->service,
                                  shared_.owner.Load(request_->service));
      callback(std::move(result));
    }
  }

  Shared& shared_;
  UpstreamPool& pool_;
  QObject* context_;
  RunRequestPtr request_;
  RunCallback callback_;
  SlotToken token_;
  QPointer<HttpClientConnection> connection_;
  Time submitted_;
  Time sent_;
  bool cancelled_ = false;
  bool abandoned_ = false;
};

}  // namespace

RunHandlePtr RunAtOwner(Shared& shared,
                        UpstreamPool& pool,
                        QObject* context,
                        RunRequestPtr request,
                        RunCallback callback) {
  auto run = std::make_shared<OwnerRun>(
      shared, pool, context, std::move(request), std::move(callback));
  run->Start();
  return run;
}

}  // namespace pathcleat
