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

/// @brief Whether a request may be sent to an upstream, with what decided.
/// @ingroup crashes
struct CrashDecision {
  bool blocked = false;         ///< it is not to be sent now
  std::size_t crash_count = 0;  ///< upstreams known to have ended under it
  int failed_trials = 0;
  Duration age{0};          ///< since the last of them ended
  Duration retry_after{0};  ///< if blocked: until it may be tried again
  std::string reported_by;  ///< host that told of it last; empty: none did
};

/// @brief What decided, as events tell it.
/// @ingroup crashes
EventFields ToEventFields(const CrashDecision& verdict);

/// @brief A change in how a request is treated, for the log.
/// @ingroup crashes
struct CrashBlockChange {
  RequestDigest request = 0;
  CrashDecision decision;  ///< as it is now
  bool blocked = false;    ///< since this change; false: not any more
};

/// @brief Finds the requests that crash the upstreams that run them, from what
/// all hosts see, and keeps them from further ones.
///
/// An upstream that ends takes all with it that lay on it, so one crash says
/// little of a request. Three upstreams that ended under the same request
/// without an answer to it in between say that it is the cause: it is blocked
/// at each host that hears of it. An answer to it, anywhere, clears it.
///
/// Upstreams get mended, so a blocked request is tried again: after a minute,
/// and after twice as long each time that the trial crashes another upstream.
/// At any moment one host of the fleet may try it, by a rank that all hosts
/// reckon alike, and each tries it once in its turn. Not thread-safe.
/// @ingroup crashes
class CrashTracker final : public CrashPublisher {
 public:
  CrashTracker(std::string domain, std::string host);

  /// @brief Told when other hosts should hear of a change at once.
  void SetOnUpdate(std::function<void()> callback) {
    on_news_ = std::move(callback);
  }

  /// @brief Told when a request is blocked here, and when it no longer is.
  void SetOnBlockChange(std::function<void(const CrashBlockChange&)> callback) {
    on_notice_ = std::move(callback);
  }

  /// @brief Whether nothing is suspected: no request needs a digest then.
  bool IsEmpty() const { return suspects_.empty(); }
  std::size_t size() const { return suspects_.size(); }
  std::size_t BlockedCount() const;

  /// @brief An upstream has ended while it had the request.
  /// @param upstream hash of its id.
  void OnCrash(RequestDigest request, std::uint64_t upstream, Time now);

  /// @brief An upstream has answered the request, so that did not crash it.
  void OnAnswer(RequestDigest request, Time now);

  /// @brief To be asked before each send.
  CrashDecision Decide(RequestDigest request, Time now) const;

  /// @brief A request is sent.
  /// @return whether it is blocked: then this is the host's trial of its turn.
  bool OnSent(RequestDigest request, Time now);

  /// @brief Hashes of the names of the other hosts that are alive.
  void SetOtherHosts(std::vector<std::uint64_t> others) {
    others_ = std::move(others);
  }

  /// @brief Forgets what is too old. Call a few times a second.
  void Tick(Time now);

  CrashReport OwnCrashes(bool reports, Time now) override;
  CrashReport DomainCrashes(Time now) override;
  CrashReport CrashSnapshot(Time now) const override;
  bool OnCrashReport(const CrashReport& report, Time now) override;

 private:
  /// @brief How an entry is still to be told.
  struct Telling {
    int left = 0;  ///< times
    Time due;      ///< the next one
    Time told;     ///< the last one

    bool IsDue(const SuspectRequest& suspect, bool repeats, Time now) const;
  };
  struct Suspect {
    SuspectRequest known;
    std::string reported_by;       ///< as in CrashDecision
    std::optional<Time> tried_in;  ///< turn of this host's last trial
    Time noted;                    ///< last change of this entry here
    Telling to_domain;
    Telling to_others;
  };
  using Suspects = std::unordered_map<RequestDigest, Suspect>;

  bool MayTry(RequestDigest request, const Suspect& suspect, Time now) const;
  Suspect& Entry(RequestDigest request);
  void NoteOwn(RequestDigest request, bool was_blocked, Time now);
  void Notice(RequestDigest request, bool was_blocked, Time now);
  CrashReport Report(bool pass_on,
                     Telling Suspect::*telling,
                     bool repeats,
                     Time now);

  std::string domain_;
  std::string host_;
  std::uint64_t own_hash_;
  std::vector<std::uint64_t> others_;
  Suspects suspects_;
  std::function<void()> on_news_;
  std::function<void(const CrashBlockChange&)> on_notice_;
};

}  // namespace pathcleat
