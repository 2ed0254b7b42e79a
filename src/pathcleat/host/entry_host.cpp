// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/entry_host.hpp"

#include <QTimer>
#include <algorithm>
#include <utility>

#include "pathcleat/host/platform_share.hpp"

namespace pathcleat {
namespace {

constexpr Duration kSeatTick{50'000};
constexpr Duration kOwnerTick{20'000};
constexpr Duration kShiftTick{500'000};
constexpr Duration kHostListPeriod{1'000'000};
constexpr Duration kStopCheck{50'000};
// A planned stop does not wait longer than this for the platform or for
// callers that keep idle connections open.
constexpr Duration kLongestStop{40'000'000};

}  // namespace

EntryHost::EntryHost(const HostSettings& settings, QObject* parent)
    : QObject(parent),
      shared_(settings),
      platform_(ControlPlatformOptions(shared_.settings), this),
      seats_(shared_, platform_, this),
      config_(shared_, platform_, platform_, this),
      state_(shared_, this),
      watch_(shared_, platform_, this),
      operators_(shared_, seats_, config_, this),
      caller_port_([this](qintptr fd) { NextWorker().AcceptCaller(fd); }),
      peer_port_([this](qintptr fd) { NextWorker().AcceptPeer(fd); }),
      operator_port_([this](qintptr fd) { AcceptOperator(fd); }) {
  const auto told = [this](StoreOutcome outcome) { OnStoreCall(outcome); };
  seats_.OnStoreCall(told);
  config_.OnStoreCall(told);
  state_.SetOwnStateSource([this] {
    return StateExchange::OwnState{seats_.Claims(), watch_.reads_host_list(),
                                   watch_.listed_leaving()};
  });
  state_.OnPeerVersion([this](SeatIndex seat, std::uint64_t version) {
    config_.OnPeerVersion(seat, version);
  });
  state_.OnHostList([this](const std::vector<UpstreamIndex>& leaving) {
    watch_.OnHostList(leaving);
  });
  // Changes may come in by any worker; drains and the news of the version
  // are dealt with here, at once.
  shared_.config.OnChanged([this](ConfigSource source) {
    QMetaObject::invokeMethod(
        this,
        [this, source] {
          watch_.ApplyDrains();
          shared_.routes.Tick();
          Announce(source);
        },
        Qt::QueuedConnection);
  });
}

EntryHost::~EntryHost() {
  caller_port_.close();
  peer_port_.close();
  operator_port_.close();
  workers_.clear();
}

Result<void> EntryHost::Start() {
  const Seat& self = shared_.settings.self();
  BOOST_LEAF_CHECK(state_.Bind());
  BOOST_LEAF_CHECK(caller_port_.Listen(self.address, self.caller_port));
  BOOST_LEAF_CHECK(peer_port_.Listen(self.address, self.peer_port));
  BOOST_LEAF_CHECK(operator_port_.Listen(self.address, self.operator_port));
  for (int i = 0; i < shared_.settings.workers; ++i) {
    workers_.push_back(std::make_unique<Worker>(shared_));
  }
  shared_.events.Record(EventCode::kHostStarted, self.name,
                        "serves callers at " + self.address + ":" +
                            std::to_string(self.caller_port));
  shared_.events.Record(EventCode::kConfigAgeUnknown, self.name,
                        "serves by its settings until a peer or the table "
                        "service tells the configuration");
  config_.LoadFromStore();
  StartTimers();
  return {};
}

// Whoever brings a change into a failure domain tells the siblings at once;
// those that heard of it from a sibling need not say it again.
void EntryHost::Announce(ConfigSource source) {
  if (source == ConfigSource::kSibling) {
    return;
  }
  state_.SendHeartbeats();
  state_.SendGossip();
}

void EntryHost::Every(Duration period, std::function<void()> action) {
  auto* timer = new QTimer(this);
  timer->setTimerType(Qt::PreciseTimer);
  connect(timer, &QTimer::timeout, this, std::move(action));
  timer->start(std::chrono::ceil<std::chrono::milliseconds>(period));
}

void EntryHost::StartTimers() {
  const Timing& timing = shared_.settings.deployment.timing;
  Every(timing.heartbeat_period, [this] {
    shared_.members.Tick(BootClock::now());
    state_.SendHeartbeats();
  });
  Every(timing.gossip_period, [this] { state_.SendGossip(); });
  Every(kSeatTick, [this] { seats_.Tick(); });
  Every(kOwnerTick, [this] { shared_.owner.Tick(); });
  Every(kShiftTick, [this] { shared_.routes.Tick(); });
  Every(timing.probe_period, [this] { watch_.ProbeAll(); });
  Every(kHostListPeriod, [this] { watch_.ReadHostList(); });
  Every(timing.config_poll, [this] { config_.Poll(); });
}

void EntryHost::OnStoreCall(StoreOutcome outcome) {
  const bool up =
      outcome == StoreOutcome::kDone || outcome == StoreOutcome::kConflict;
  const bool was_up = shared_.platform_up.exchange(up);
  if (up == was_up && platform_reported_) {
    return;
  }
  platform_reported_ = true;
  const std::string peer = shared_.settings.deployment.platform.address;
  shared_.events.Record(
      up ? EventCode::kPlatformUp : EventCode::kPlatformDown, peer,
      up ? "the platform answers"
         : "the platform does not answer; what was last known stays in force");
}

void EntryHost::Stop(std::function<void()> stopped) {
  if (shared_.leaving.exchange(true)) {
    return;
  }
  stopped_ = std::move(stopped);
  stop_began_ = BootClock::now();
  shared_.members.SetLeaving();
  shared_.events.Record(EventCode::kHostLeaving, shared_.settings.self().name,
                        "callers are sent elsewhere, seats handed over");
  seats_.BeginLeaving();
  state_.SendHeartbeats();
  state_.SendGossip();
  Every(kStopCheck, [this] { CheckStopped(); });
}

bool EntryHost::IsQuiet() {
  if (shared_.requests > 0 || !seats_.IsReleased() || !shared_.owner.IsIdle()) {
    return false;
  }
  return std::all_of(workers_.begin(), workers_.end(), [](const auto& worker) {
    return worker->PendingKeys() == 0;
  });
}

// Callers may use what "locate" told them until its time to live is over.
void EntryHost::CheckStopped() {
  if (!stopped_) {
    return;
  }
  const Duration passed = BootClock::now() - stop_began_;
  const bool callers_gone =
      passed >= shared_.settings.deployment.timing.locate_ttl;
  const bool too_long = passed >= kLongestStop;
  if ((!callers_gone || !IsQuiet()) && !too_long) {
    return;
  }
  if (!callers_finished_) {
    callers_finished_ = true;
    caller_port_.close();
    for (const auto& worker : workers_) {
      worker->FinishCallers();
    }
    return;
  }
  if (shared_.connections > 0 && !too_long) {
    return;
  }
  shared_.events.Record(
      EventCode::kHostStopped, shared_.settings.self().name,
      "after " + std::to_string(static_cast<int>(ToMilliseconds(passed))) +
          " ms, " + std::to_string(shared_.requests) +
          " requests left unanswered");
  std::exchange(stopped_, nullptr)();
}

void EntryHost::AcceptOperator(qintptr descriptor) {
  constexpr std::uint64_t kLongestCommand = 4'096;
  HttpLimits limits;
  limits.body_bytes = kLongestCommand;
  new HttpServerConnection(
      descriptor, limits, nullptr,
      [this](const HttpExchangePtr& exchange) { operators_.Handle(exchange); },
      this);
}

Worker& EntryHost::NextWorker() {
  return *workers_[next_worker_++ % workers_.size()];
}

}  // namespace pathcleat
