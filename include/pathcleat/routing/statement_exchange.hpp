// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <functional>
#include <map>
#include <string>

#include "pathcleat/routing/statement_report.hpp"
#include "pathcleat/routing/upstream_table.hpp"

namespace pathcleat {

/// @brief Joins what this host and other hosts read in the answers of upstreams
/// about their rate limits and about whether they leave, so that all hosts
/// apply the newest statement.
///
/// Only the few hosts that send to a limited upstream get its answers, and the
/// upstream list may tell of a leaving upstream late. Hosts report the
/// statements they read recently in each round of heartbeats, and the reporters
/// of each failure domain forward them to the other domains. Not
/// thread-safe.
/// @ingroup routing
class StatementExchange final : public StatementPublisher {
 public:
  /// @brief Called with each change of the limit in force for an upstream.
  using OnChange = std::function<void(UpstreamState&, LimitChange)>;

  /// @param table must outlive this.
  StatementExchange(UpstreamTable& table, std::string host, std::string domain);

  void SetOnChange(OnChange on_change) { on_change_ = std::move(on_change); }

  /// @brief Called when a listed upstream begins to leave or leaves no more, as
  /// it stated itself.
  using OnLeavingChange =
      std::function<void(const UpstreamState&, const LeavingStatement&)>;
  void SetOnLeavingChange(OnLeavingChange on_change) {
    on_leaving_change_ = std::move(on_change);
  }

  /// @brief Sets the function called when an answer received by this host
  /// changed what applies to an upstream, so that the change can be reported to
  /// other hosts at once.
  void SetOnUpdate(std::function<void()> on_update) {
    on_update_ = std::move(on_update);
  }

  /// @brief Ends each limit that has gone unconfirmed until its permitted rate,
  /// which doubles at regular intervals, reached the upstream's capacity. Call
  /// a few times a second.
  void Tick(Time now);

  /// @brief Upstreams with a limit in force, by id.
  const std::map<std::string, UpstreamPtr>& limited_upstreams() const {
    return limited_upstreams_;
  }

  /// @brief Call when this host received an answer with a limit.
  /// @param per_second the limit, in requests a second.
  void OnLimitReported(const UpstreamPtr& upstream,
                       double per_second,
                       Time now);

  /// @brief Call when this host received an answer without a limit.
  /// @param sent when the request of that answer was sent.
  void OnNoLimitReported(const UpstreamPtr& upstream, Time sent, Time now);

  /// @brief Call when this host received an answer that states whether the
  /// upstream leaves.
  /// @param sent when the request of that answer was sent.
  void OnLeavingReported(const UpstreamPtr& upstream,
                         bool leaving,
                         Time sent,
                         Time now);

  StatementReport OwnStatements(Time now) override;
  StatementReport DomainStatements(Time now) override;
  StatementReport StatementSnapshot(Time now) override;
  void OnStatementReport(const StatementReport& report, Time now) override;

 private:
  using Upstreams = std::map<std::string, UpstreamPtr>;

  LimitChange Apply(const UpstreamPtr& upstream,
                    const LimitObservation& observation,
                    Time now);
  void ApplyOwn(const UpstreamPtr& upstream,
                const LimitObservation& observation,
                Time now);
  void RecordChange(const UpstreamPtr& upstream, LimitChange change);
  bool ApplyLeaving(const std::string& upstream_id,
                    const LeavingStatement& statement);
  /// Selects the statements for a report.
  struct ReportFilter {
    std::string host;    ///< only statements that this host read; empty: any
    std::string domain;  ///< only those of hosts of this domain; empty: any
    bool recent = true;  ///< only recent ones, rather than all in force
  };
  StatementReport MakeReport(bool forward_to_domain,
                             const ReportFilter& filter,
                             Time now);
  void AddLimits(StatementReport& report, const ReportFilter& filter, Time now);
  void AddLeaving(StatementReport& report,
                  const ReportFilter& filter,
                  Time now);

  UpstreamTable& table_;
  std::string host_;
  std::string domain_;
  OnChange on_change_;
  OnLeavingChange on_leaving_change_;
  std::function<void()> on_update_;
  /// Upstreams whose newest observations are to be reported, by id.
  Upstreams recently_observed_;
  Upstreams limited_upstreams_;  ///< by id
  // Ids after which the next report starts.
  std::string last_reported_limit_;
  std::string last_reported_leaving_;
};

}  // namespace pathcleat
