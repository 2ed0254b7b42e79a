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

std::optional<RoutingConfig> DecodeAndApply(const std::string& bytes,
                                            const RoutingConfig* current) {
  auto update = DecodeConfigUpdate(bytes);
  cr_assert(update.has_value());
  return ApplyConfigUpdate(std::move(*update), current);
}

Test(config_history, host_with_an_older_version_gets_the_changes) {
  ConfigHistory history;
  const RoutingConfig old_config = LargeConfig();
  history.Append(old_config);
  RoutingConfig config = old_config;
  config.version = 5;
  config.routes[3].allowed_regions = {"north"};
  config.routes.erase(config.routes.begin() + 9);
  history.Append(config);
  const std::string& delta = history.EncodedUpdateSince(config, 1);
  cr_assert_lt(delta.size(), 1'000U);
  const auto applied = DecodeAndApply(delta, &old_config);
  cr_assert(applied.has_value());
  cr_assert_eq(applied->version, 5U);
  cr_assert_eq(applied->services.size(), 1U);
  cr_assert(ContentHashes(applied->routes) == ContentHashes(config.routes));
}

Test(config_history, host_with_an_unknown_version_gets_the_full_configuration) {
  ConfigHistory history;
  const RoutingConfig config = LargeConfig();
  history.Append(config);
  const std::string& full_update = history.EncodedUpdateSince(config, 77);
  const auto applied = DecodeAndApply(full_update, nullptr);
  cr_assert(applied.has_value());
  cr_assert(ContentHashes(applied->routes) == ContentHashes(config.routes));
}

// Guards against an update that is encoded again for each host that gets it.
Test(config_history, update_is_encoded_once_for_hosts_with_the_same_version) {
  ConfigHistory history;
  const RoutingConfig config = LargeConfig();
  history.Append(config);
  cr_assert_eq(&history.EncodedUpdateSince(config, 0),
               &history.EncodedUpdateSince(config, 77));
}

// Guards against updates that lack changed accounts. Fails with the accounts
// left out of ConfigHistory::MakeUpdate.
Test(config_history, host_gets_the_accounts_that_changed) {
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
  const std::string& delta = history.EncodedUpdateSince(config, 1);
  cr_assert_lt(delta.size(), 1'000U);
  const auto applied = DecodeAndApply(delta, &old_config);
  cr_assert(applied.has_value());
  cr_assert(ContentHashes(applied->accounts) == ContentHashes(config.accounts));
  const auto full_update =
      DecodeAndApply(history.EncodedUpdateSince(config, 0), nullptr);
  cr_assert(ContentHashes(full_update->accounts) ==
            ContentHashes(config.accounts));
}

Test(config_history, delta_to_another_version_is_rejected) {
  ConfigHistory history;
  RoutingConfig config = LargeConfig();
  history.Append(config);
  config.version = 2;
  history.Append(config);
  const std::string& delta = history.EncodedUpdateSince(config, 1);
  cr_assert_not(DecodeAndApply(delta, &config).has_value());
  cr_assert_not(DecodeAndApply(delta, nullptr).has_value());
}

}  // namespace
}  // namespace pathcleat
