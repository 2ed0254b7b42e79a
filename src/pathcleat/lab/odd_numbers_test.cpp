// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Numbers of rows that do not fit the types that hold them.

#include <limits>
#include <nlohmann/json.hpp>

#include "decode.hpp"
#include "encode.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

using nlohmann::json;

json SoundConfig() {
  RoutingConfig config;
  config.version = 3;
  Route route;
  route.name = "r";
  route.host = "h";
  route.path_prefix = "/";
  route.splits = {{"s", 1}, {"t", 2}};
  config.routes = {route};
  ServiceInfo service;
  service.name = "s";
  config.services = {service};
  return json::parse(platform::EncodeConfig(config, {}));
}

FleetChange Decode(const std::string& key, const json& value) {
  const KeyedHasher hasher;
  return platform::DecodeRow(SourceTopic::kOrders, hasher, key, false,
                             value.dump());
}

FleetChange DecodeConfigWith(const std::string& pointer, const json& value) {
  json config = SoundConfig();
  config[json::json_pointer(pointer)] = value;
  return Decode("config", config);
}

// Numbers were converted without a check of their range, which is undefined and
// differs between processors. The row is rejected, and the earlier one stays.
Test(odd_numbers, configuration_with_a_number_out_of_range_is_rejected) {
  cr_assert(
      std::holds_alternative<RoutingConfig>(Decode("config", SoundConfig())));
  const std::vector<std::string> never_negative = {
      "/Version",
      "/Routes/0/Timeout",
      "/Routes/0/TargetLatency",
      "/Routes/0/Priority",
      "/Routes/0/Backends/0/Weight",
      "/Services/0/MaxConns",
      "/Services/0/ColdPerS",
      "/Limits/MaxHeaderBytes",
      "/Limits/MaxBodyBytes",
      "/Limits/HeaderTimeout",
      "/Limits/IdleTimeout",
  };
  const std::vector<json> never = {-1,      -1e300, "1",
                                   nullptr, true,   json::array()};
  for (const std::string& pointer : never_negative) {
    for (const json& value : never) {
      const FleetChange change = DecodeConfigWith(pointer, value);
      cr_assert(std::holds_alternative<UnreadableRow>(change), "%s %s",
                pointer.c_str(), value.dump().c_str());
    }
  }
  const std::vector<std::pair<std::string, json>> others = {
      {"/Version", 0},
      {"/Version", 1e300},
      {"/Version", 9007199254740993ULL},
      {"/Routes/0/Timeout", 0},
      {"/Routes/0/Timeout", 1e300},
      {"/Routes/0/TargetLatency", 1e300},
      {"/Routes/0/Priority", 1e300},
      {"/Routes/0/Priority", 4294967296.0},
      {"/Routes/0/MaxAttempts", "2"},
      {"/Routes/0/Backends", json::array()},
      {"/Routes/0/Backends/0/Weight", 1e308},
      {"/Routes/0/Backends/0/Service", ""},
      {"/Services/0/Name", ""},
      {"/Services/0/ColdPerS", 1e308},
      {"/Limits/MaxHeaderBytes", 0},
      {"/Limits/HeaderTimeout", 0},
      {"/Limits/IdleTimeout", 0},
      {"/Routes", nullptr},
      {"/Services", json::object()},
      {"/Limits", nullptr},
  };
  for (const auto& [pointer, value] : others) {
    const FleetChange change = DecodeConfigWith(pointer, value);
    cr_assert(std::holds_alternative<UnreadableRow>(change), "%s %s",
              pointer.c_str(), value.dump().c_str());
  }
}

RoutingConfig ConfigWith(const std::string& pointer, const json& value) {
  const FleetChange change = DecodeConfigWith(pointer, value);
  cr_assert(std::holds_alternative<RoutingConfig>(change), "%s %s",
            pointer.c_str(), value.dump().c_str());
  return std::get<RoutingConfig>(change);
}

// Numbers that mean "as many as you like" are clamped to what the types hold.
Test(odd_numbers, large_limits_are_clamped) {
  constexpr double kHuge = 1e300;
  constexpr std::uint64_t kTwoTo63 = 1ULL << 63;
  cr_assert_eq(ConfigWith("/Limits/MaxHeaderBytes", kTwoTo63)
                   .caller_limits.max_header_bytes,
               16U * 1024 * 1024);
  cr_assert_eq(
      ConfigWith("/Limits/MaxBodyBytes", kHuge).caller_limits.max_body_bytes,
      1ULL << 40);
  const std::chrono::milliseconds day = std::chrono::hours(24);
  cr_assert_eq(ConfigWith("/Limits/IdleTimeout", kHuge)
                   .caller_limits.idle_timeout.count(),
               day.count());
  cr_assert_eq(
      ConfigWith("/Services/0/MaxConns", kHuge).services[0].max_connections,
      1'000'000);
  cr_assert_eq(
      ConfigWith("/Routes/0/MaxAttempts", kHuge).routes[0].max_attempts, 100);
  cr_assert_eq(
      ConfigWith("/Routes/0/MaxAttempts", -kHuge).routes[0].max_attempts, 1);
}

// Split weights that are all zero left no share of any service.
Test(odd_numbers, weights_without_a_sum_are_rejected) {
  json config = SoundConfig();
  for (json& part : config["Routes"][0]["Backends"]) {
    part["Weight"] = 0;
  }
  cr_assert(std::holds_alternative<UnreadableRow>(Decode("config", config)));
}

// Guards against recursion over a value that another writer nests deeply.
Test(odd_numbers, deep_nesting_in_a_configuration_is_rejected) {
  std::string value = SoundConfig().dump();
  const std::string deep =
      std::string(1'000'000, '[') + std::string(1'000'000, ']');
  value = value.substr(0, value.size() - 1) + R"(,"Tenants":)" + deep + "}";
  const KeyedHasher hasher;
  cr_assert(std::holds_alternative<UnreadableRow>(platform::DecodeRow(
      SourceTopic::kOrders, hasher, "config", false, value)));
}

// The parser's message repeats the value, which may be as long as the row.
Test(odd_numbers, reason_is_short) {
  const KeyedHasher hasher;
  const FleetChange change =
      platform::DecodeRow(SourceTopic::kUpstreams, hasher, "a", false,
                          '"' + std::string(1 << 20, 'x'));
  cr_assert_leq(std::get<UnreadableRow>(change).reason.size(), 200U);
}

Test(odd_numbers, rollout_time_out_of_range_is_rejected) {
  json order = {{"Service", "s"}, {"TargetVersion", "v"}, {"Duration", 60}};
  cr_assert(std::holds_alternative<RolloutOrder>(Decode("rollout/s", order)));
  for (const json& odd : std::vector<json>{-1, 1e300, "60", nullptr}) {
    order["Duration"] = odd;
    cr_assert(
        std::holds_alternative<UnreadableRow>(Decode("rollout/s", order)));
  }
}

json SoundUpstream() {
  return {{"Service", "s"},
          {"Address", "127.0.0.1:9"},
          {"failure_domain", "d"},
          {"Slots", 2},
          {"State", "ready"}};
}

Duration ColdRemaining(const json& milliseconds) {
  json row = SoundUpstream();
  row["ColdRemaining"] = milliseconds;
  const KeyedHasher hasher;
  const FleetChange change = platform::DecodeRow(
      SourceTopic::kUpstreams, hasher, "a", false, row.dump());
  cr_assert(std::holds_alternative<UpstreamInfo>(change));
  return std::get<UpstreamInfo>(change).cold_remaining;
}

// Guards against an undefined conversion of a time that another writer states.
Test(odd_numbers, cold_time_is_clamped) {
  cr_assert_eq(ColdRemaining(-1e300).count(), 0);
  cr_assert_eq(ColdRemaining(1500).count(), 1'500'000);
  cr_assert_eq(ColdRemaining(1e300).count(), 3'600'000'000);
}

}  // namespace
}  // namespace pathcleat
