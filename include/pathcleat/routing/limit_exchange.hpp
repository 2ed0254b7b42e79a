// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <functional>
#include <map>
#include <string>

#include "pathcleat/routing/limit_report.hpp"
#include "pathcleat/routing/upstream_table.hpp"

namespace pathcleat {

/// @brief Joins what this host and others hear of the limits that upstreams
/// name, so that all hosts go by the newest.
///
/// Only the few hosts that send to a limited upstream get its answers. They
/// tell what they heard of late in each round of heartbeats, and the reporters
/// of each failure domain tell the other domains. Not thread-safe.
/// @ingroup routing
class LimitExchange final : public LimitPublisher {
 public:
  /// @brief Told of each change of what holds for an upstream.
  using OnChange = std::function<void(UpstreamState&, LimitChange)>;

  /// @param table must outlive this.
  LimitExchange(UpstreamTable& table, std::string host, std::string domain);

  void SetOnChange(OnChange on_change) { on_change_ = std::move(on_change); }

  /// @brief Called when an answer here has told what others should know now.
  void SetOnUpdate(std::function<void()> on_news) {
    on_news_ = std::move(on_news);
  }

  /// @brief Lets limits lapse of which nobody has heard for long. To be called
  /// a few times a second.
  void Tick(Time now);

  /// @brief The upstreams that limits hold for, by id.
  const std::map<std::string, UpstreamPtr>& limited_upstreams() const {
    return in_force_;
  }

  /// @brief An answer here named a limit, requests a second.
  void OnLimitReported(const UpstreamPtr& upstream,
                       double per_second,
                       Time now);

  /// @brief An answer here named none.
  /// @param sent when its request was sent.
  void OnNoLimitReported(const UpstreamPtr& upstream, Time sent, Time now);

  LimitReport OwnLimits(Time now) override;
  LimitReport DomainLimits(Time now) override;
  LimitReport LimitSnapshot(Time now) override;
  void OnLimitReport(const LimitReport& report, Time now) override;

 private:
  using Upstreams = std::map<std::string, UpstreamPtr>;

  LimitChange Take(const UpstreamPtr& upstream,
                   const LimitObservation& sign,
                   Time now);
  void TakeOwn(const UpstreamPtr& upstream,
               const LimitObservation& sign,
               Time now);
  void Note(const UpstreamPtr& upstream, LimitChange change);
  LimitReport Report(bool pass_on,
                     const Upstreams& told,
                     const std::function<bool(const LimitObservation&)>& tells,
                     Time now);

  UpstreamTable& table_;
  std::string host_;
  std::string domain_;
  OnChange on_change_;
  std::function<void()> on_news_;
  Upstreams recent_;       ///< whose newest sign is to be told, by id
  Upstreams in_force_;     ///< by id
  std::string last_told_;  ///< turns, where one report cannot hold all
};

}  // namespace pathcleat
