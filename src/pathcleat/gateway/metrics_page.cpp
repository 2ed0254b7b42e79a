// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/metrics_page.hpp"

#include <sys/resource.h>

#include <functional>

#include "pathcleat/gateway/metrics_text.hpp"

namespace pathcleat {
namespace {

using Page = MetricsText;

void AddRequests(Page& page, const GatewayState& state) {
  page.Family("pathcleat_requests_total", "counter",
              "Requests that ended, by route and outcome.");
  for (const auto& [route, kind] : state.metrics.by_route()) {
    page.Sample("pathcleat_requests_total",
                {{"route", route}, {"outcome", "answered"}}, kind.answered);
    page.Sample("pathcleat_requests_total",
                {{"route", route}, {"outcome", "not-run"}}, kind.not_run);
    page.Sample("pathcleat_requests_total",
                {{"route", route}, {"outcome", "unknown"}}, kind.unknown);
  }
  page.Family("pathcleat_request_duration_seconds", "histogram",
              "From a request's last byte to its answer, by route.");
  for (const auto& [route, kind] : state.metrics.by_route()) {
    page.Buckets("pathcleat_request_duration_seconds", {{"route", route}},
                 kind.buckets);
  }
  page.Family("pathcleat_expected_wait_seconds", "histogram",
              "Wait for a slot at the chosen upstream, as expected.");
  page.Buckets("pathcleat_expected_wait_seconds", {{"at", "sending"}},
               state.metrics.expected_waits());
  page.Family("pathcleat_refusals_total", "counter",
              "Requests refused as not run, by reason.");
  for (const auto& [reason, count] : state.metrics.refusals()) {
    page.Sample("pathcleat_refusals_total", {{"reason", reason}}, count);
  }
  page.Family("pathcleat_callers_left_total", "counter",
              "Callers that left before their answer, by what becomes of "
              "their work.");
  for (const auto& [work, count] : state.metrics.callers_left()) {
    page.Sample("pathcleat_callers_left_total", {{"work", ToString(work)}},
                count);
  }
  page.Family("pathcleat_broken_off_total", "counter",
              "Exchanges that this host ended while their upstream may have "
              "been at work, by cause.");
  for (const auto& [cause, count] : state.metrics.aborted()) {
    page.Sample("pathcleat_broken_off_total", {{"cause", ToString(cause)}},
                count);
  }
  page.Family("pathcleat_broken_answers_total", "counter",
              "Answers of upstreams that could not be used, by reason.");
  for (const auto& [fault, count] : state.metrics.broken_answers()) {
    page.Sample("pathcleat_broken_answers_total", {{"reason", ToString(fault)}},
                count);
  }
  page.Family("pathcleat_requests_under_way", "gauge", "Callers waiting now.");
  page.Sample("pathcleat_requests_under_way", {}, state.in_flight_count);
}

// Only the accounts with the most requests and the most refusals are listed,
// which bounds the size of the page.
void AddAccounts(Page& page, const AccountStats& accounts) {
  page.Family("pathcleat_account_requests_total", "counter",
              "Requests of the busiest and the most refused client accounts.");
  for (const auto& [account, counts] : accounts.TopAccounts()) {
    page.Sample("pathcleat_account_requests_total",
                {{"account", account}, {"outcome", "taken"}}, counts.accepted);
    page.Sample("pathcleat_account_requests_total",
                {{"account", account}, {"outcome", "over_limit"}},
                counts.over_limit);
  }
  page.Family("pathcleat_account_requests_uncounted_total", "counter",
              "Requests of accounts beyond those that are counted.");
  page.Sample("pathcleat_account_requests_uncounted_total", {},
              accounts.uncounted());
}

void AddBudgets(Page& page, const GatewayState& state) {
  page.Family("pathcleat_retries_total", "counter",
              "Requests sent once more, by service.");
  for (const auto& [service, budget] : state.retry_budgets) {
    page.Sample("pathcleat_retries_total", {{"service", service}},
                budget.used());
  }
  page.Family("pathcleat_retries_left", "gauge",
              "Retries that this host may make now, by service.");
  for (const auto& [service, budget] : state.retry_budgets) {
    page.Sample("pathcleat_retries_left", {{"service", service}},
                budget.remaining());
  }
}

void AddUpstreams(Page& page, const GatewayState& state, Time now) {
  page.Family("pathcleat_upstream_in_flight", "gauge",
              "Requests of this host at an upstream.");
  for (const UpstreamPtr& upstream : state.upstreams.All()) {
    page.Sample(
        "pathcleat_upstream_in_flight",
        {{"upstream", upstream->info.id}, {"service", upstream->info.service}},
        upstream->load.own_in_flight());
  }
  page.Family("pathcleat_upstream_not_run_total", "counter",
              "Requests that an upstream said it did not run.");
  for (const UpstreamPtr& upstream : state.upstreams.All()) {
    page.Sample("pathcleat_upstream_not_run_total",
                {{"upstream", upstream->info.id}}, upstream->not_run);
  }
  page.Family(
      "pathcleat_upstream_passed_over_total", "counter",
      "Requests that went elsewhere, or nowhere, as an upstream leaves, "
      "wants no requests for a time, or has a bounded rate of which "
      "this host's share was used up.");
  for (const UpstreamPtr& upstream : state.upstreams.All()) {
    if (upstream->passed_over > 0) {
      page.Sample("pathcleat_upstream_passed_over_total",
                  {{"upstream", upstream->info.id}}, upstream->passed_over);
    }
  }
  page.Family("pathcleat_upstream_limit_per_second", "gauge",
              "Requests a second that all hosts may send to an upstream that "
              "names a limit.");
  for (const auto& [id, upstream] :
       state.upstream_statements.limited_upstreams()) {
    page.Sample("pathcleat_upstream_limit_per_second", {{"upstream", id}},
                upstream->limit.PerSecond(now));
  }
  page.Family("pathcleat_upstream_backoffs_total", "counter",
              "Times without requests that upstreams asked this host for.");
  page.Sample("pathcleat_upstream_backoffs_total", {},
              state.metrics.backoffs());
  int open = 0;
  int cold = 0;
  int announced_leaving = 0;
  int suspect = 0;
  for (const UpstreamPtr& upstream : state.upstreams.All()) {
    open += state.upstreams.IsOpen(*upstream) ? 1 : 0;
    cold += upstream->IsCold(now) ? 1 : 0;
    announced_leaving += upstream->announced_leaving ? 1 : 0;
    suspect += upstream->health.IsSuspect() ? 1 : 0;
  }
  page.Family("pathcleat_upstreams", "gauge", "Upstreams, by state.");
  page.Sample("pathcleat_upstreams", {{"state", "listed"}},
              state.upstreams.size());
  page.Sample("pathcleat_upstreams", {{"state", "open"}}, open);
  page.Sample("pathcleat_upstreams", {{"state", "cold"}}, cold);
  page.Sample("pathcleat_upstreams", {{"state", "limited"}},
              state.upstream_statements.limited_upstreams().size());
  page.Sample("pathcleat_upstreams", {{"state", "leaving"}}, announced_leaving);
  page.Sample("pathcleat_upstreams", {{"state", "backoff"}},
              state.upstreams.BackingOff().size());
  page.Sample("pathcleat_upstreams", {{"state", "suspect"}}, suspect);
}

void AddReach(Page& page, const ReachMonitor& reach, Time now) {
  page.Family("pathcleat_host_isolated", "gauge",
              "1: this host reaches no upstream.");
  page.Sample("pathcleat_host_isolated", {}, reach.IsIsolated() ? 1 : 0);
  page.Family("pathcleat_host_isolations_total", "counter",
              "Times that this host ceased to reach any upstream.");
  page.Sample("pathcleat_host_isolations_total", {}, reach.isolations());
  page.Family("pathcleat_reach_probes_total", "counter",
              "Health checks sent to find out whether this host is isolated.");
  page.Sample("pathcleat_reach_probes_total", {}, reach.probes());
  page.Family("pathcleat_upstream_contact_age_seconds", "gauge",
              "Since any upstream last answered this host.");
  page.Sample(
      "pathcleat_upstream_contact_age_seconds", {},
      std::chrono::duration<double>(reach.reach().Evidence(now).since_contact)
          .count());
}

void AddForwards(Page& page, const ForwardState& forwards) {
  page.Family(
      "pathcleat_forwarded_requests_total", "counter",
      "Requests passed between hosts, as one of them does not reach the "
      "upstreams, by direction.");
  page.Sample("pathcleat_forwarded_requests_total", {{"direction", "sent"}},
              forwards.sent);
  page.Sample("pathcleat_forwarded_requests_total", {{"direction", "taken"}},
              forwards.received);
  page.Sample("pathcleat_forwarded_requests_total", {{"direction", "declined"}},
              forwards.declined);
}

void AddCrashes(Page& page, const GatewayState& state) {
  page.Family("pathcleat_upstream_ends_total", "counter",
              "Requests that an upstream had when its process ended.");
  page.Sample("pathcleat_upstream_ends_total", {},
              state.metrics.upstream_crashes());
  page.Family("pathcleat_crash_requests", "gauge",
              "Requests under which upstreams have ended, by state.");
  const std::size_t blocked = state.crashes.BlockedCount();
  page.Sample("pathcleat_crash_requests", {{"state", "suspected"}},
              state.crashes.size() - blocked);
  page.Sample("pathcleat_crash_requests", {{"state", "blocked"}}, blocked);
}

void AddVersions(Page& page, const VersionStats& stats) {
  if (stats.by_service().empty()) {
    return;
  }
  page.Family("pathcleat_version_requests_sent_total", "counter",
              "Requests sent to upstreams, by version, of services that have "
              "or had an order for a rollout.");
  for (const auto& [service, versions] : stats.by_service()) {
    for (const auto& [version, counts] : versions) {
      page.Sample("pathcleat_version_requests_sent_total",
                  {{"service", service}, {"version", version}}, counts.sent);
    }
  }
  page.Family("pathcleat_version_attempts_total", "counter",
              "Requests sent that ended, by version and outcome.");
  for (const auto& [service, versions] : stats.by_service()) {
    for (const auto& [version, counts] : versions) {
      for (const AttemptOutcome outcome : kAttemptOutcomes) {
        page.Sample("pathcleat_version_attempts_total",
                    {{"service", service},
                     {"version", version},
                     {"outcome", ToString(outcome)}},
                    counts.CountOf(outcome));
      }
    }
  }
  page.Family("pathcleat_version_answer_duration_seconds", "histogram",
              "From the choice of an upstream to its answer, by version.");
  for (const auto& [service, versions] : stats.by_service()) {
    for (const auto& [version, counts] : versions) {
      page.Buckets("pathcleat_version_answer_duration_seconds",
                   {{"service", service}, {"version", version}},
                   counts.latency);
    }
  }
}

void AddStore(Page& page, const StoreCallStats& stats) {
  page.Family("pathcleat_store_calls_total", "counter",
              "Calls to the platform's store, by call and outcome.");
  for (const auto& [call, count] : stats.calls) {
    page.Sample("pathcleat_store_calls_total",
                {{"call", call.first}, {"outcome", ToString(call.second)}},
                count);
  }
  page.Family("pathcleat_store_unreadable_answers_total", "counter",
              "Answers of the store in a shape that its protocol does not "
              "have, by call.");
  for (const auto& [call, count] : stats.unreadable_answers) {
    page.Sample("pathcleat_store_unreadable_answers_total", {{"call", call}},
                count);
  }
  page.Family("pathcleat_store_call_duration_seconds", "histogram",
              "Calls to the store that do not wait for changes.");
  page.Buckets("pathcleat_store_call_duration_seconds", {{"call", "all"}},
               stats.latency);
}

void AddSilentConnections(Page& page,
                          const GatewayState& state,
                          const MetricsInputs& inputs) {
  page.Family("pathcleat_silent_connections_total", "counter",
              "Connections given up: open, but nothing came, by kind of link.");
  page.Sample("pathcleat_silent_connections_total", {{"link", "upstream"}},
              state.connection_pool.silent_connections());
  page.Sample("pathcleat_silent_connections_total", {{"link", "host"}},
              state.peer_traffic.silent_connections());
  if (inputs.store_calls != nullptr) {
    page.Sample("pathcleat_silent_connections_total", {{"link", "store"}},
                inputs.store_calls->silent_connections);
  }
}

void AddLoad(Page& page, const HostInfo& self) {
  if (!self.capacity.IsStated()) {
    return;
  }
  page.Family("pathcleat_host_utilization", "gauge",
              "Share of this host's capacity in use.");
  page.Sample("pathcleat_host_utilization", {}, self.utilization);
  page.Family("pathcleat_host_load_step", "gauge",
              "Load step; from 1 on, callers are sent to other hosts.");
  page.Sample("pathcleat_host_load_step", {}, self.load_step);
}

void AddFleet(Page& page,
              const GatewayState& state,
              const HostVersions& versions,
              Time now) {
  page.Family("pathcleat_config_version", "gauge", "Routes in force here.");
  page.Sample("pathcleat_config_version", {}, versions.config);
  page.Family("pathcleat_commands_version", "gauge", "Commands in force here.");
  page.Sample("pathcleat_commands_version", {}, versions.commands);
  page.Family("pathcleat_feed_version", "gauge",
              "Newest change of the store that is known here, by topic.");
  page.Sample("pathcleat_feed_version", {{"topic", "orders"}}, versions.orders);
  page.Sample("pathcleat_feed_version", {{"topic", "upstreams"}},
              versions.upstreams);
  page.Family("pathcleat_feed_lag_versions", "gauge",
              "How far the newest host heard is ahead, by topic.");
  std::uint64_t orders = versions.orders;
  std::uint64_t upstreams = versions.upstreams;
  for (const HostEntry* host : state.hosts.Others()) {
    orders = std::max(orders, host->versions.orders);
    upstreams = std::max(upstreams, host->versions.upstreams);
  }
  page.Sample("pathcleat_feed_lag_versions", {{"topic", "orders"}},
              orders - versions.orders);
  page.Sample("pathcleat_feed_lag_versions", {{"topic", "upstreams"}},
              upstreams - versions.upstreams);
  page.Family("pathcleat_store_watched", "gauge",
              "1: this host watches the store itself.");
  page.Sample("pathcleat_store_watched", {},
              versions.store_access == StoreAccess::kWatching ? 1 : 0);
  page.Family("pathcleat_hosts_alive", "gauge", "Hosts heard, this one too.");
  page.Sample("pathcleat_hosts_alive", {}, state.hosts.AliveCount(now));
}

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void AddFeeds(Page& page, const MetricsInputs& inputs, Time now) {
  page.Family("pathcleat_feed_age_seconds", "gauge",
              "Since a topic was last heard of, also that nothing changed.");
  for (const auto& [topic, feed] : inputs.feeds) {
    page.Sample("pathcleat_feed_age_seconds", {{"topic", ToString(topic)}},
                ToSeconds(now - feed.received_at));
  }
  page.Family("pathcleat_store_answer_age_seconds", "gauge",
              "Since the store last answered about a topic, to this host and "
              "to any host.");
  for (const auto& [topic, feed] : inputs.feeds) {
    if (feed.store_answered_at) {
      page.Sample("pathcleat_store_answer_age_seconds",
                  {{"topic", ToString(topic)}, {"to", "host"}},
                  ToSeconds(now - *feed.store_answered_at));
    }
    if (feed.fleet_answered_at) {
      page.Sample("pathcleat_store_answer_age_seconds",
                  {{"topic", ToString(topic)}, {"to", "fleet"}},
                  ToSeconds(now - *feed.fleet_answered_at));
    }
  }
  page.Family("pathcleat_watch_restarts_total", "counter",
              "Watches that were given up without an answer.");
  for (const auto& [topic, feed] : inputs.feeds) {
    page.Sample("pathcleat_watch_restarts_total", {{"topic", ToString(topic)}},
                feed.watch_restarts);
  }
}

void AddSendStages(Page& page, const SendStages& stages) {
  page.Family("pathcleat_send_stage_seconds", "histogram",
              "Stages between a change of the list and a request that goes by "
              "it, by stage.");
  for (const SendStage stage : kSendStages) {
    page.Buckets("pathcleat_send_stage_seconds", {{"stage", ToString(stage)}},
                 stages.Of(stage));
  }
}

void AddLoopTurns(Page& page, const LoopTurns& turns) {
  page.Family("pathcleat_loop_turn_seconds", "histogram",
              "Turns of the event loop, by the work done.");
  for (const LoopTask task : kLoopTasks) {
    page.Buckets("pathcleat_loop_turn_seconds", {{"task", ToString(task)}},
                 turns.Of(task));
  }
  page.Family("pathcleat_loop_longest_turn_seconds", "gauge",
              "Longest turn so far, by the work done.");
  for (const LoopTask task : kLoopTasks) {
    page.Sample("pathcleat_loop_longest_turn_seconds",
                {{"task", ToString(task)}},
                std::chrono::duration<double>(turns.Longest(task)).count());
  }
  page.Family("pathcleat_loop_delay_seconds", "histogram",
              "By how much the periodic timer fires too late.");
  page.Buckets("pathcleat_loop_delay_seconds", {{"timer", "tick"}},
               turns.delays());
}

void AddPeerTraffic(Page& page, const PeerTraffic& traffic) {
  page.Family("pathcleat_peer_bytes_sent_total", "counter",
              "Bytes sent to other hosts, by kind.");
  for (const PeerMessageKind kind : kPeerMessageKinds) {
    page.Sample("pathcleat_peer_bytes_sent_total", {{"kind", ToString(kind)}},
                traffic.bytes_sent(kind));
  }
  page.Family("pathcleat_peer_bytes_received_total", "counter",
              "Bytes taken from other hosts, by kind.");
  for (const PeerMessageKind kind : kPeerMessageKinds) {
    page.Sample("pathcleat_peer_bytes_received_total",
                {{"kind", ToString(kind)}}, traffic.bytes_received(kind));
  }
  page.Family("pathcleat_peer_unknown_forms_total", "counter",
              "Datagrams of this fleet in a form that is not known here.");
  page.Sample("pathcleat_peer_unknown_forms_total", {},
              traffic.unknown_formats());
  page.Family("pathcleat_peer_questions_under_way", "gauge",
              "Other hosts asked that have not answered yet.");
  page.Sample("pathcleat_peer_questions_under_way", {},
              traffic.fetches_in_flight());
  page.Family("pathcleat_peer_questions_given_up_total", "counter",
              "Other hosts asked that gave no answer that could be used.");
  page.Sample("pathcleat_peer_questions_given_up_total", {},
              traffic.failed_fetches());
}

using ValueOfUse = std::function<std::uint64_t(MemoryUse)>;

void AddByUse(Page& page, const char* name, const ValueOfUse& value) {
  for (const MemoryUse use :
       {MemoryUse::kConnections, MemoryUse::kRequests, MemoryUse::kAnswers}) {
    page.Sample(name, {{"use", ToString(use)}}, value(use));
  }
}

void AddMemory(Page& page, const GatewayState& state) {
  const MemoryBudget& budget = *state.memory_budget;
  const auto of_use = [](const MemoryCounts& counts) {
    return [&counts](MemoryUse use) {
      return counts.at(static_cast<std::size_t>(use));
    };
  };
  page.Family("pathcleat_held_bytes", "gauge",
              "Memory taken from the budget of this host, by use.");
  AddByUse(page, "pathcleat_held_bytes",
           [&budget](MemoryUse use) { return budget.used(use); });
  page.Family("pathcleat_held_limit_bytes", "gauge",
              "The budget of this host, from its memory.");
  page.Sample("pathcleat_held_limit_bytes", {}, budget.limit());
  page.Family("pathcleat_memory_refusals_total", "counter",
              "Times that the budget had no memory, by use.");
  AddByUse(page, "pathcleat_memory_refusals_total", of_use(budget.refused()));
  page.Family("pathcleat_memory_reclaims_total", "counter",
              "Requests and answers given up for others, by use.");
  AddByUse(page, "pathcleat_memory_reclaims_total", of_use(budget.reclaimed()));
  page.Family("pathcleat_input_rejections_total", "counter",
              "Requests rejected before they were handled, and connections "
              "closed, by listener and cause.");
  for (const auto& [key, count] : state.rejections.counts()) {
    page.Sample("pathcleat_input_rejections_total",
                {{"listener", key.first}, {"cause", ToString(key.second)}},
                count);
  }
}

void AddProcess(Page& page,
                const GatewayState& state,
                const LogCounts& dropped_lines) {
  page.Family("pathcleat_log_lines_dropped_total", "counter",
              "Lines that found no room, by class.");
  for (const LogClass log_class :
       {LogClass::kRequest, LogClass::kFailure, LogClass::kState}) {
    page.Sample("pathcleat_log_lines_dropped_total",
                {{"class", ToString(log_class)}},
                dropped_lines.at(static_cast<std::size_t>(log_class)));
  }
  page.Family("pathcleat_failures_not_logged_total", "counter",
              "Requests that failed beyond the log's rate.");
  page.Sample("pathcleat_failures_not_logged_total", {},
              state.request_log.suppressed_failures());
  page.Family("pathcleat_handler_failures_total", "counter",
              "Pieces of work that ended with an exception, by where they "
              "entered the host.");
  for (std::size_t i = 0; i < HandlerFailures::kEntryPointCount; ++i) {
    page.Sample("pathcleat_handler_failures_total",
                {{"where", ToString(static_cast<EntryPoint>(i))}},
                state.failures.counts().at(i));
  }
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  constexpr double kMicrosPerSecond = 1e6;
  constexpr long kBytesPerKilobyte = 1024;
  page.Family("process_cpu_seconds_total", "counter", "Processor time.");
  page.Sample(
      "process_cpu_seconds_total", {},
      static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
          static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) /
              kMicrosPerSecond);
  page.Family("process_peak_memory_bytes", "gauge", "Largest memory so far.");
  page.Sample("process_peak_memory_bytes", {},
              usage.ru_maxrss * kBytesPerKilobyte);
}

}  // namespace

std::string RenderMetrics(const GatewayState& state,
                          const MetricsInputs& inputs,
                          Time now) {
  Page page;
  AddRequests(page, state);
  AddAccounts(page, state.account_stats);
  AddBudgets(page, state);
  AddUpstreams(page, state, now);
  AddReach(page, state.reach, now);
  AddForwards(page, state.forwards);
  AddCrashes(page, state);
  AddVersions(page, state.version_stats);
  AddFleet(page, state, inputs.versions, now);
  AddLoad(page, state.hosts.self());
  AddFeeds(page, inputs, now);
  AddSendStages(page, state.send_stages);
  AddLoopTurns(page, state.loop_turns);
  AddPeerTraffic(page, state.peer_traffic);
  if (inputs.store_calls != nullptr) {
    AddStore(page, *inputs.store_calls);
  }
  AddSilentConnections(page, state, inputs);
  AddMemory(page, state);
  AddProcess(page, state, inputs.dropped_log_lines);
  return page.Text();
}

}  // namespace pathcleat
