// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pathcleat/core/event_field.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/crashes/crash_report.hpp"
#include "pathcleat/crashes/suspect_request.hpp"

namespace pathcleat {

/// @brief Whether a request may be sent to an upstream, and the data that the
/// decision is based on.
/// @ingroup crashes
struct CrashDecision {
  bool blocked = false;  ///< the request must not be sent now
  std::size_t crash_count =
      0;  ///< upstreams that ended while running the request
  int failed_trials = 0;
  Duration age{0};  ///< time since the last of these upstreams ended
  Duration retry_after{
      0};  ///< if blocked: time until the request may be tried again
  std::string
      reported_by;  ///< host that last reported on the request; empty: none
};

/// @brief The fields of a decision, for log events.
/// @ingroup crashes
EventFields ToEventFields(const CrashDecision& decision);

/// @brief A request that was blocked or unblocked, for the log.
/// @ingroup crashes
struct CrashBlockChange {
  RequestDigest request = 0;
  CrashDecision decision;  ///< after the change
  bool blocked = false;    ///< after the change
};

/// @brief Finds the requests that crash the upstreams that run them, from the
/// observations of all hosts, and blocks them.
///
/// When an upstream ends, all requests that it was running are affected, so one
/// crash is weak evidence against a request. Three upstreams that ended while
/// running the same request, without an answer to the request in between, are
/// taken as proof that the request is the cause: each host blocks the request
/// when it has received these observations. An answer to the request at any
/// host removes the earlier observations and unblocks the request.
///
/// Upstreams may be repaired, so a blocked request is tried again after one
/// minute. Each trial that crashes another upstream doubles this time, up to 64
/// minutes. After this time, turns of 30 s follow each other. In each turn one
/// host of the fleet may try the request, once. All hosts compute the same rank
/// of the hosts for a turn, and the first in rank is chosen. Not thread-safe.
/// @ingroup crashes
class CrashTracker final : public CrashPublisher {
 public:
  CrashTracker(std::string domain, std::string host);

  /// @brief Sets the callback for a change that should be sent to other hosts
  /// at once.
  void SetOnUpdate(std::function<void()> callback) {
    on_update_ = std::move(callback);
  }

  /// @brief Sets the callback for a request that this host blocks or unblocks.
  void SetOnBlockChange(std::function<void(const CrashBlockChange&)> callback) {
    on_block_change_ = std::move(callback);
  }

  /// @brief Whether no request is suspected. In this case the caller of this
  /// class need not compute digests of requests.
  bool IsEmpty() const { return suspects_.empty(); }
  std::size_t size() const { return suspects_.size(); }
  std::size_t BlockedCount() const;

  /// @brief Records that an upstream ended while it was running the request.
  /// @param upstream hash of the upstream's id.
  void OnCrash(RequestDigest request, std::uint64_t upstream, Time now);

  /// @brief Records that an upstream answered the request, so the request did
  /// not crash that upstream.
  void OnAnswer(RequestDigest request, Time now);

  /// @brief Whether the request may be sent. Call before each send.
  CrashDecision Decide(RequestDigest request, Time now) const;

  /// @brief Records that the request is sent.
  /// @return whether the request is blocked, so that this send counts as this
  /// host's trial in the current turn.
  bool OnSent(RequestDigest request, Time now);

  /// @brief Sets the hashes of the names of the other hosts that are alive.
  void SetOtherHosts(std::vector<std::uint64_t> others) {
    others_ = std::move(others);
  }

  /// @brief Removes expired entries. Call a few times a second.
  void Tick(Time now);

  CrashReport OwnCrashes(bool is_reporter, Time now) override;
  CrashReport DomainCrashes(Time now) override;
  CrashReport CrashSnapshot(Time now) const override;
  bool OnCrashReport(const CrashReport& report, Time now) override;

 private:
  /// @brief When and how often an entry is still to be reported.
  struct PublishState {
    int remaining = 0;  ///< number of reports still to send
    Time due;           ///< time of the next report
    Time last_sent;     ///< time of the last report

    bool IsDue(const SuspectRequest& suspect,
               bool repeats_blocked,
               Time now) const;
  };
  struct Suspect {
    SuspectRequest state;
    std::string reported_by;  ///< see CrashDecision::reported_by
    std::optional<Time>
        last_trial_turn;  ///< start of the turn of this host's last trial
    Time changed_at;      ///< last change of this entry at this host
    PublishState for_domain;
    PublishState for_other_domains;
  };
  using Suspects = std::unordered_map<RequestDigest, Suspect>;

  bool IsTrialAllowed(RequestDigest request,
                      const Suspect& suspect,
                      Time now) const;
  Suspect& FindOrAdd(RequestDigest request);
  void OnOwnChange(RequestDigest request, bool was_blocked, Time now);
  void NotifyBlockChange(RequestDigest request, bool was_blocked, Time now);
  CrashReport MakeReport(bool forward_to_domain,
                         PublishState Suspect::*publish_state,
                         bool repeats_blocked,
                         Time now);

  std::string domain_;
  std::string host_;
  std::uint64_t own_hash_;
  std::vector<std::uint64_t> others_;
  Suspects suspects_;
  std::function<void()> on_update_;
  std::function<void(const CrashBlockChange&)> on_block_change_;
};

}  // namespace pathcleat
