// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/watch_model.hpp"

#include <algorithm>
#include <array>
#include <iomanip>
#include <optional>
#include <random>
#include <sstream>

#include "pathcleat/feeds/watch_schedule.hpp"

namespace pathcleat {
namespace {

constexpr Duration kStep{10'000};
constexpr Duration kTickInterval{250'000};
constexpr Duration kHeartbeatInterval{500'000};
constexpr Duration kCallTimeout{1'500'000};
constexpr Duration kRetryDelay{300'000};
constexpr Duration kAnswerDelay{10'000};
constexpr Duration kPauseAfterChange{250'000};
constexpr Duration kLongWait{20'000'000};
constexpr Duration kBoundedWait{1'500'000};
constexpr Duration kShortWait{1'000'000};
constexpr Duration kFirstGrowingWait{500'000};
// From the first heartbeat with a newer version until it is fetched.
constexpr Duration kFetchDelay{500'000};

struct Watcher {
  int domain = 0;
  int position = 0;
  Duration heartbeat_phase{0};
  Duration tick_phase{0};
  double delay_share = 0;
  Duration call_begun{0};
  Duration call_wait{0};
  bool in_flight = false;
  bool is_swallowed = false;  ///< the store never answers the call in flight
  Duration next_call_at{0};
  bool asks_without_wait = false;  ///< the last call failed
  bool ended_wait = false;         ///< the last answer had no changes
  Duration last_wait{0};
  Duration own_answer_at{0};
  Duration fleet_answer_at{0};   ///< of any host, as far as it was told
  std::size_t version = 0;       ///< number of changes seen
  std::size_t told_version = 0;  ///< newest that another host has told
  std::optional<Duration> behind_since;
};

class WatchModel {
 public:
  explicit WatchModel(const WatchModelPlan& plan)
      : plan_(plan), schedule_(plan.contact), random_(plan.seed) {
    const int count = plan.domains * plan.watchers_in_domain;
    for (int i = 0; i < count; ++i) {
      Watcher watcher;
      watcher.domain = i % plan.domains;
      watcher.position = i;
      watcher.heartbeat_phase = Draw(kHeartbeatInterval);
      watcher.tick_phase = Draw(kTickInterval);
      watcher.delay_share = DrawShare();
      watcher.next_call_at = Draw(Duration(500'000));
      watchers_.push_back(watcher);
    }
    result_.apply_delays.assign(
        plan.changes.size(), std::vector<Duration>(watchers_.size(), kUnseen));
  }

  WatchModelResult Run() {
    for (now_ = Duration(0); now_ < plan_.duration; now_ += kStep) {
      while (published_ < plan_.changes.size() &&
             plan_.changes[published_] <= now_) {
        ++published_;
      }
      for (Watcher& watcher : watchers_) {
        Advance(watcher);
      }
      CountCallRate();
    }
    for (std::size_t change = 0; change < plan_.changes.size(); ++change) {
      for (Duration& delay : result_.apply_delays[change]) {
        delay = std::min(delay, plan_.duration - plan_.changes[change]);
      }
    }
    return result_;
  }

 private:
  static constexpr Duration kUnseen = Duration::max();

  double DrawShare() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  Duration Draw(Duration limit) {
    return std::chrono::duration_cast<Duration>(limit * DrawShare());
  }

  bool IsSilent() const {
    return std::any_of(plan_.silences.begin(), plan_.silences.end(),
                       [this](const StoreSilence& silence) {
                         return now_ >= silence.from && now_ < silence.until;
                       });
  }

  bool IsDue(Duration phase, Duration interval) const {
    return (now_ - phase) % interval < kStep && now_ >= phase;
  }

  void Advance(Watcher& watcher) {
    if (watcher.in_flight) {
      AdvanceCall(watcher);
    } else if (now_ >= watcher.next_call_at) {
      Begin(watcher);
    }
    if (IsDue(watcher.heartbeat_phase, kHeartbeatInterval)) {
      SendHeartbeat(watcher);
    }
    if (IsDue(watcher.tick_phase, kTickInterval)) {
      Tick(watcher);
    }
  }

  void Begin(Watcher& watcher) {
    watcher.in_flight = true;
    watcher.is_swallowed = IsSilent();
    watcher.call_begun = now_;
    watcher.call_wait =
        watcher.asks_without_wait ? Duration(0) : ChooseWait(watcher);
    ++result_.calls;
    ++calls_in_second_;
  }

  void AdvanceCall(Watcher& watcher) {
    const Duration elapsed = now_ - watcher.call_begun;
    if (elapsed >= watcher.call_wait + kCallTimeout) {
      watcher.in_flight = false;
      watcher.asks_without_wait = true;
      watcher.next_call_at = now_ + kRetryDelay;
      return;
    }
    const bool has_changes = published_ > watcher.version;
    const bool is_due = elapsed >= kAnswerDelay &&
                        (has_changes || elapsed >= watcher.call_wait);
    if (watcher.is_swallowed || !is_due) {
      return;
    }
    if (IsSilent()) {
      watcher.is_swallowed = true;  // the answer is lost
      return;
    }
    watcher.in_flight = false;
    watcher.own_answer_at = now_;
    watcher.fleet_answer_at = now_;
    watcher.ended_wait = !has_changes && watcher.call_wait > Duration::zero();
    watcher.last_wait = watcher.call_wait;
    watcher.asks_without_wait = false;
    watcher.next_call_at = has_changes ? now_ + kPauseAfterChange : now_;
    See(watcher, published_);
  }

  void See(Watcher& watcher, std::size_t version) {
    const std::size_t index =
        static_cast<std::size_t>(&watcher - watchers_.data());
    for (std::size_t i = watcher.version; i < version; ++i) {
      result_.apply_delays[i][index] = now_ - plan_.changes[i];
    }
    watcher.version = std::max(watcher.version, version);
    watcher.behind_since.reset();
  }

  bool Hears(const Watcher& to, const Watcher& from) const {
    return to.domain == from.domain ||
           (to.domain >= plan_.cut_domains && from.domain >= plan_.cut_domains);
  }

  // Hosts that watch the store also report to the other domains.
  void SendHeartbeat(const Watcher& from) {
    for (Watcher& to : watchers_) {
      if (&to == &from || !Hears(to, from) ||
          DrawShare() < plan_.datagram_loss) {
        continue;
      }
      to.fleet_answer_at = std::max(to.fleet_answer_at, from.own_answer_at);
      if (from.version > to.version) {
        to.told_version = std::max(to.told_version, from.version);
        to.behind_since = to.behind_since.value_or(now_);
        if (now_ - *to.behind_since >= kFetchDelay) {
          See(to, from.version);
        }
      }
    }
  }

  void Tick(Watcher& watcher) {
    if (watcher.behind_since && now_ - *watcher.behind_since >= kFetchDelay) {
      See(watcher, watcher.told_version);
    }
    if (plan_.strategy != WatchStrategy::kSpread || !watcher.in_flight ||
        watcher.asks_without_wait ||
        !schedule_.IsOverdue(now_ - watcher.fleet_answer_at,
                             watcher.delay_share)) {
      return;
    }
    watcher.delay_share = DrawShare();
    watcher.asks_without_wait = true;
    Begin(watcher);
  }

  Duration ChooseWait(const Watcher& watcher) const {
    switch (plan_.strategy) {
      case WatchStrategy::kLong:
        return kLongWait;
      case WatchStrategy::kBounded:
        return kBoundedWait;
      case WatchStrategy::kShortTurn:
        return watcher.position < plan_.domains ? kShortWait : kLongWait;
      case WatchStrategy::kGrowing:
        return watcher.ended_wait ? std::min(kLongWait, 2 * watcher.last_wait)
                                  : kFirstGrowingWait;
      case WatchStrategy::kSpread: {
        const WatchTurn turn = TurnOf(watcher);
        return watcher.ended_wait ? schedule_.NextWait(turn)
                                  : schedule_.FirstWait(turn);
      }
    }
    return kLongWait;
  }

  WatchTurn TurnOf(const Watcher& watcher) const {
    if (plan_.cut_domains == 0) {
      return {watcher.position, static_cast<int>(watchers_.size())};
    }
    WatchTurn turn;
    turn.count = 0;
    for (const Watcher& other : watchers_) {
      if (Hears(watcher, other)) {
        ++turn.count;
        turn.position += other.position < watcher.position ? 1 : 0;
      }
    }
    return turn;
  }

  void CountCallRate() {
    result_.max_calls_per_second =
        std::max(result_.max_calls_per_second, calls_in_second_);
    if (now_ % Duration(1'000'000) == Duration::zero()) {
      calls_in_second_ = 0;
    }
  }

  const WatchModelPlan plan_;
  const WatchSchedule schedule_;
  std::mt19937_64 random_;
  std::vector<Watcher> watchers_;
  Duration now_{0};
  std::size_t published_ = 0;
  std::uint64_t calls_in_second_ = 0;
  WatchModelResult result_;
};

constexpr std::array kStrategies{
    WatchStrategy::kLong, WatchStrategy::kBounded, WatchStrategy::kShortTurn,
    WatchStrategy::kGrowing, WatchStrategy::kSpread};

struct FleetSize {
  const char* name;
  int domains;
  int watchers_in_domain;
};

// Fleets of 9, 88, 300 and 2,300 hosts.
constexpr std::array kFleetSizes{FleetSize{"9", 5, 2}, FleetSize{"88", 6, 2},
                                 FleetSize{"300", 9, 1},
                                 FleetSize{"2,300", 151, 1}};

double CallsPerSecond(const WatchModelPlan& plan) {
  constexpr int kTopics = 2;
  const double seconds = std::chrono::duration<double>(plan.duration).count();
  return kTopics * static_cast<double>(RunWatchModel(plan).calls) / seconds;
}

struct SilenceFigures {
  std::vector<Duration> delays;  ///< of a change as the store answers again
  Duration max_in_contact{0};    ///< of a change after the contact time
  std::uint64_t max_calls_per_second = 0;
};

// Silences of random length begin at random moments after a change.
SilenceFigures MeasureSilences(WatchModelPlan plan, int seeds) {
  SilenceFigures figures;
  for (int seed = 1; seed <= seeds; ++seed) {
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    std::uniform_int_distribution<int> start_ms(0, 500);
    std::uniform_int_distribution<int> length_ms(200, 5'000);
    plan.seed = static_cast<std::uint64_t>(seed);
    const Duration change(25'000'000);
    const Duration from = change + std::chrono::milliseconds(start_ms(random));
    const Duration until = from + std::chrono::milliseconds(length_ms(random));
    plan.silences = {{from, until}};
    plan.changes = {change, until + kStep};
    const WatchModelResult at_once = RunWatchModel(plan);
    figures.delays.insert(figures.delays.end(), at_once.apply_delays[1].begin(),
                          at_once.apply_delays[1].end());
    figures.max_calls_per_second =
        std::max(figures.max_calls_per_second, at_once.max_calls_per_second);
    plan.changes[1] = until + plan.contact;
    const auto later = RunWatchModel(plan).apply_delays[1];
    figures.max_in_contact = std::max(
        figures.max_in_contact, *std::max_element(later.begin(), later.end()));
  }
  std::sort(figures.delays.begin(), figures.delays.end());
  return figures;
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

const char* ToString(WatchStrategy strategy) {
  switch (strategy) {
    case WatchStrategy::kLong:
      return "long";
    case WatchStrategy::kBounded:
      return "bounded";
    case WatchStrategy::kShortTurn:
      return "short-turn";
    case WatchStrategy::kGrowing:
      return "growing";
    case WatchStrategy::kSpread:
      return "spread";
  }
  return "unknown";
}

WatchModelResult RunWatchModel(const WatchModelPlan& plan) {
  return WatchModel(plan).Run();
}

std::string MeasureWatches(int seeds) {
  constexpr double kNearlyAll = 0.99;
  std::ostringstream table;
  table << "| hosts | waits | calls/s idle | calls/s, a change each 2 s | "
           "most calls in a second, a silence | change at the return: s, 99% / "
           "all | change after the contact time: s, all |\n"
        << "|---|---|---|---|---|---|---|\n"
        << std::fixed << std::setprecision(2);
  for (const FleetSize& size : kFleetSizes) {
    for (const WatchStrategy strategy : kStrategies) {
      WatchModelPlan plan;
      plan.strategy = strategy;
      plan.domains = size.domains;
      plan.watchers_in_domain = size.watchers_in_domain;
      const double idle = CallsPerSecond(plan);
      WatchModelPlan busy = plan;
      for (Duration at{1'000'000}; at < busy.duration;
           at += Duration(2'000'000)) {
        busy.changes.push_back(at);
      }
      const SilenceFigures figures = MeasureSilences(plan, seeds);
      const auto last = figures.delays.size() - 1;
      const auto nearly_last =
          static_cast<std::size_t>(kNearlyAll * static_cast<double>(last));
      table << "| " << size.name << " | " << ToString(strategy) << " | " << idle
            << " | " << CallsPerSecond(busy) << " | "
            << 2 * figures.max_calls_per_second << " | "
            << Seconds(figures.delays[nearly_last]) << " / "
            << Seconds(figures.delays[last]) << " | "
            << Seconds(figures.max_in_contact) << " |\n";
    }
  }
  return table.str();
}

}  // namespace pathcleat
