// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/config_history.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

constexpr int kRoutes = 1'400;

RoutingConfig LargeConfig() {
  RoutingConfig config;
  config.version = 1;
  config.services = {{"s"}};
  for (int i = 0; i < kRoutes; ++i) {
    Route route;
    route.name = "route-" + std::to_string(i);
    route.host = "test.example";
    route.path_prefix = "/" + std::to_string(i) + "/";
    route.splits = {{"s", 1}};
    config.routes.push_back(route);
  }
  return config;
}

std::optional<RoutingConfig> Take(const std::string& bytes,
                                  const RoutingConfig* known) {
  auto part = DecodeConfigUpdate(bytes);
  cr_assert(part.has_value());
  return ApplyConfigUpdate(std::move(*part), known);
}

Test(config_history, host_that_knows_an_older_version_is_told_the_changes) {
  ConfigHistory history;
  const RoutingConfig old_config = LargeConfig();
  history.Append(old_config);
  RoutingConfig config = old_config;
  config.version = 5;
  config.routes[3].allowed_regions = {"north"};
  config.routes.erase(config.routes.begin() + 9);
  history.Append(config);
  const std::string& change = history.EncodedUpdateSince(config, 1);
  cr_assert_lt(change.size(), 1'000U);
  const auto taken = Take(change, &old_config);
  cr_assert(taken.has_value());
  cr_assert_eq(taken->version, 5U);
  cr_assert_eq(taken->services.size(), 1U);
  cr_assert(ContentHashes(taken->routes) == ContentHashes(config.routes));
}

Test(config_history, host_whose_version_is_not_remembered_is_told_the_whole) {
  ConfigHistory history;
  const RoutingConfig config = LargeConfig();
  history.Append(config);
  const std::string& whole = history.EncodedUpdateSince(config, 77);
  const auto taken = Take(whole, nullptr);
  cr_assert(taken.has_value());
  cr_assert(ContentHashes(taken->routes) == ContentHashes(config.routes));
}

// Each of seven followers had the whole encoded anew.
Test(config_history, bytes_are_made_once_for_all_who_know_the_same) {
  ConfigHistory history;
  const RoutingConfig config = LargeConfig();
  history.Append(config);
  cr_assert_eq(&history.EncodedUpdateSince(config, 0),
               &history.EncodedUpdateSince(config, 77));
}

// Checked to fail with the accounts left out of ConfigHistory::MakePart.
Test(config_history, host_is_told_the_accounts_that_changed) {
  ConfigHistory history;
  RoutingConfig config = LargeConfig();
  for (int i = 0; i < 500; ++i) {
    Account account;
    account.name = "account-" + std::to_string(i);
    account.key_digests = {KeyedDigest{static_cast<std::uint8_t>(i),
                                       static_cast<std::uint8_t>(i / 256)}};
    account.priority = 1;
    account.limit = {10, 20};
    account.allowed_regions = {"north"};
    config.accounts.push_back(account);
  }
  const RoutingConfig old_config = config;
  history.Append(old_config);
  config.version = 2;
  config.accounts[7].key_digests.clear();
  config.accounts.erase(config.accounts.begin() + 9);
  history.Append(config);
  const std::string& change = history.EncodedUpdateSince(config, 1);
  cr_assert_lt(change.size(), 1'000U);
  const auto taken = Take(change, &old_config);
  cr_assert(taken.has_value());
  cr_assert(ContentHashes(taken->accounts) == ContentHashes(config.accounts));
  const auto whole = Take(history.EncodedUpdateSince(config, 0), nullptr);
  cr_assert(ContentHashes(whole->accounts) == ContentHashes(config.accounts));
}

Test(config_history, change_of_another_version_is_no_configuration) {
  ConfigHistory history;
  RoutingConfig config = LargeConfig();
  history.Append(config);
  config.version = 2;
  history.Append(config);
  const std::string& change = history.EncodedUpdateSince(config, 1);
  cr_assert_not(Take(change, &config).has_value());
  cr_assert_not(Take(change, nullptr).has_value());
}

}  // namespace
}  // namespace pathcleat
