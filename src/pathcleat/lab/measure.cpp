// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/measure.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <future>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace pathcleat {
namespace {

struct Way {
  std::string name;
  std::function<void(ModelPlan&)> apply;
};

// A workload: Heathermoor's two-slot instances, or the race results' six-slot
// ones with their latencies.
ModelPlan Heathermoor() {
  return {};
}

ModelPlan RaceResults() {
  ModelPlan plan;
  plan.slots = 6;
  plan.latency_in_region = Duration(1'000);
  plan.latency_between_regions = Duration(35'000);
  return plan;
}

Spread SpreadOf(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return {values[values.size() / 2], values.front(), values.back()};
}

double ShareInTime(const ModelClass& item) {
  return static_cast<double>(item.in_time) / std::max(1, item.offered);
}

MeasuredRow MeasureRow(const ModelPlan& base,
                       const Way& way,
                       double load,
                       int seeds) {
  std::vector<std::future<ModelResult>> runs;
  std::vector<std::future<ModelResult>> shared_runs;
  for (int seed = 1; seed <= seeds; ++seed) {
    ModelPlan plan = base;
    plan.load = load;
    plan.seed = static_cast<std::uint64_t>(seed);
    ModelPlan shared = plan;
    shared.serving = ModelServing::kSharedQueue;
    way.apply(plan);
    runs.push_back(std::async(std::launch::async, RunModel, plan));
    shared_runs.push_back(std::async(std::launch::async, RunModel, shared));
  }
  std::vector<ModelResult> results;
  std::vector<double> ratios;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    results.push_back(runs[i].get());
    ratios.push_back(results.back().p99_ms /
                     std::max(1.0, shared_runs[i].get().p99_ms));
  }
  const auto spread = [&results](auto figure) {
    std::vector<double> values;
    values.reserve(results.size());
    for (const ModelResult& result : results) {
      values.push_back(figure(result));
    }
    return SpreadOf(std::move(values));
  };
  MeasuredRow row;
  row.way = way.name;
  row.load = load;
  row.p50_ms = spread([](const auto& r) { return r.p50_ms; });
  row.p99_ms = spread([](const auto& r) { return r.p99_ms; });
  row.p99_ratio = SpreadOf(ratios);
  row.goodput = spread([](const auto& r) { return r.goodput; });
  row.submissions_in_time =
      spread([](const auto& r) { return ShareInTime(r.classes[0]); });
  row.refusal_p99_ms = spread([](const auto& r) { return r.refusal_p99_ms; });
  row.attempts = spread([](const auto& r) { return r.attempts; });
  row.headroom_low = spread([](const auto& r) { return r.headroom_low; });
  for (const ModelResult& result : results) {
    row.over_slots += result.over_slots;
  }
  return row;
}

MeasuredTable MeasureTable(const std::string& title,
                           const ModelPlan& base,
                           const std::vector<Way>& ways,
                           const std::vector<double>& loads,
                           int seeds) {
  MeasuredTable table;
  table.title = title;
  for (const double load : loads) {
    for (const Way& way : ways) {
      table.rows.push_back(MeasureRow(base, way, load, seeds));
    }
  }
  return table;
}

Way Policy(const std::string& name, RoutePolicy policy) {
  return {name, [policy](ModelPlan& plan) { plan.policy = policy; }};
}

std::vector<Way> Policies() {
  return {Policy("expected time (ships)", RoutePolicy::kExpectedTime),
          Policy("power of two", RoutePolicy::kPowerOfTwo),
          Policy("least reported", RoutePolicy::kLeastReported),
          Policy("nearest", RoutePolicy::kNearest),
          Policy("random", RoutePolicy::kRandom)};
}

std::vector<Way> Orders() {
  const auto order = [](WaitingRoom::Order by, bool refuse_late) {
    return [by, refuse_late](ModelPlan& plan) {
      plan.owner.order = by;
      plan.owner.refuse_late = refuse_late;
    };
  };
  return {
      {"priority and deadline, late refused (ships)",
       order(WaitingRoom::Order::kDeadline, true)},
      {"priority and deadline", order(WaitingRoom::Order::kDeadline, false)},
      {"first come, late refused", order(WaitingRoom::Order::kArrival, true)},
      {"first come", order(WaitingRoom::Order::kArrival, false)}};
}

std::vector<Way> Retries() {
  return {{"retries in budget (ships)", [](ModelPlan&) {}},
          {"retries without budget",
           [](ModelPlan& plan) { plan.retry_budget = false; }},
          {"no retries", [](ModelPlan& plan) { plan.retries = false; }}};
}

std::vector<Way> ReportAges() {
  const auto age = [](int milliseconds) {
    return [milliseconds](ModelPlan& plan) {
      plan.report_delay = std::chrono::milliseconds(milliseconds);
    };
  };
  return {{"reports 0.1 s late", age(100)},
          {"reports 1 s late", age(1'000)},
          {"reports 5 s late", age(5'000)},
          {"reports never arrive", age(3'600'000)}};
}

std::string Text(const Spread& spread, int digits) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(digits) << spread.median << " ("
       << spread.low << "-" << spread.high << ")";
  return text.str();
}

nlohmann::ordered_json Json(const Spread& spread) {
  return {
      {"median", spread.median}, {"low", spread.low}, {"high", spread.high}};
}

}  // namespace

std::vector<MeasuredTable> MeasureRouting(int seeds) {
  return {MeasureTable("Where to send, Heathermoor", Heathermoor(), Policies(),
                       {0.8, 1.5}, seeds),
          MeasureTable("Where to send, race results", RaceResults(), Policies(),
                       {0.8, 1.5}, seeds)};
}

std::vector<MeasuredTable> MeasureOverload(int seeds) {
  return {MeasureTable("Order and early refusal at the owner, Heathermoor",
                       Heathermoor(), Orders(), {0.8, 1.0, 1.5, 3.0}, seeds),
          MeasureTable("Retries, Heathermoor", Heathermoor(), Retries(),
                       {0.8, 1.5, 3.0}, seeds),
          MeasureTable("Age of reports, Heathermoor", Heathermoor(),
                       ReportAges(), {0.8, 1.5}, seeds)};
}

std::string ToText(const std::vector<MeasuredTable>& tables) {
  constexpr int kOne = 1;
  constexpr int kTwo = 2;
  constexpr int kThree = 3;
  std::ostringstream text;
  for (const MeasuredTable& table : tables) {
    text << "### " << table.title << "\n\n"
         << "| load | way | p50 ms | p99 ms | p99 / shared queue | goodput | "
            "submissions in time | refusal p99 ms | attempts a request | least "
            "headroom | over slots |\n"
         << "|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (const MeasuredRow& row : table.rows) {
      constexpr int kPercent = 100;
      text << "| " << std::lround(row.load * kPercent) << "% | " << row.way
           << " | " << Text(row.p50_ms, kOne) << " | " << Text(row.p99_ms, kOne)
           << " | " << Text(row.p99_ratio, kTwo) << " | "
           << Text(row.goodput, kThree) << " | "
           << Text(row.submissions_in_time, kThree) << " | "
           << Text(row.refusal_p99_ms, kOne) << " | "
           << Text(row.attempts, kTwo) << " | " << Text(row.headroom_low, kTwo)
           << " | " << row.over_slots << " |\n";
    }
    text << "\n";
  }
  return text.str();
}

std::string ToJson(const std::vector<MeasuredTable>& tables) {
  nlohmann::ordered_json all = nlohmann::ordered_json::array();
  for (const MeasuredTable& table : tables) {
    nlohmann::ordered_json rows = nlohmann::ordered_json::array();
    for (const MeasuredRow& row : table.rows) {
      rows.push_back({{"load", row.load},
                      {"way", row.way},
                      {"p50_ms", Json(row.p50_ms)},
                      {"p99_ms", Json(row.p99_ms)},
                      {"p99_ratio", Json(row.p99_ratio)},
                      {"goodput", Json(row.goodput)},
                      {"submissions_in_time", Json(row.submissions_in_time)},
                      {"refusal_p99_ms", Json(row.refusal_p99_ms)},
                      {"attempts", Json(row.attempts)},
                      {"headroom_low", Json(row.headroom_low)},
                      {"over_slots", row.over_slots}});
    }
    all.push_back({{"title", table.title}, {"rows", rows}});
  }
  return all.dump(2);
}

}  // namespace pathcleat
