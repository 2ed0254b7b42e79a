// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include <string>

#include "pathcleat/accounts/caller_identity.hpp"
#include "pathcleat/accounts/quota_control.hpp"
#include "pathcleat/feeds/config_history.hpp"
#include "pathcleat/lab/cost_curve.hpp"
#include "stopwatch.hpp"

namespace pathcleat {
namespace {

constexpr std::size_t kCalls = 20'000;
constexpr int kSizes[] = {76, 1'000, 10'000};

std::string AccountKey(std::size_t account, int key_number) {
  return "key-of-twenty-bytes-" + std::to_string(account) + "-" +
         std::to_string(key_number);
}

RoutingConfig MakeConfig(int accounts, const KeyedHasher& hasher) {
  RoutingConfig config;
  config.version = 1;
  for (int i = 0; i < accounts; ++i) {
    Account account;
    account.name = "account-" + std::to_string(i);
    account.key_digests = {hasher.Digest(AccountKey(i, 0)),
                           hasher.Digest(AccountKey(i, 1))};
    account.limit = {100, 100};
    config.accounts.push_back(account);
  }
  return config;
}

CostCurve MakeCurve(const char* name) {
  CostCurve curve;
  curve.name = name;
  curve.size_unit = "accounts with two keys";
  return curve;
}

// Bytes of the configuration update to another host: in full, or the removal of
// one key only.
double UpdateBytes(const RoutingConfig& config, bool full) {
  ConfigHistory history;
  history.Append(config);
  RoutingConfig changed = config;
  changed.version = 2;
  changed.accounts.front().key_digests.pop_back();
  history.Append(changed);
  return static_cast<double>(
      history.EncodedUpdateSince(changed, full ? 0 : 1).size());
}

}  // namespace

std::vector<CostCurve> MeasureAccountCosts() {
  CostCurve known_key = MakeCurve("account found by its key, us");
  CostCurve unknown_key = MakeCurve("unknown key looked up, us");
  CostCurve counted = MakeCurve("request counted against its limit, us");
  CostCurve full = MakeCurve("configuration sent in full, bytes");
  CostCurve key_removal = MakeCurve("removal of one key sent, bytes");
  KeyedHasher hasher;
  hasher.SetSecret("a secret");
  for (const int size : kSizes) {
    const RoutingConfig config = MakeConfig(size, hasher);
    AccountTable table;
    table.SetAccounts(std::make_shared<std::vector<Account>>(config.accounts));
    std::vector<HttpHeaders> callers;
    std::vector<HttpHeaders> unknown_callers;
    for (int i = 0; i < size; ++i) {
      callers.push_back({{"Host", "test"},
                         {"Authorization", "Bearer " + AccountKey(i, i % 2)}});
      unknown_callers.push_back(
          {{"Host", "test"}, {"Authorization", "Bearer " + AccountKey(i, 7)}});
    }
    const auto measure = [&](const std::vector<HttpHeaders>& requests) {
      return MakeCostPoint(size, TimeCalls(kCalls, [&](std::size_t i) {
                             IdentifyCaller(requests[i % requests.size()],
                                            table, hasher);
                           }));
    };
    known_key.points.push_back(measure(callers));
    unknown_key.points.push_back(measure(unknown_callers));
    QuotaControl quotas("domain", "host", 1);
    const Time now = BootClock::now();
    counted.points.push_back(MakeCostPoint(
        size, TimeCalls(kCalls, [&](std::size_t i) {
          quotas.Admit(config.accounts[i % size], now + Duration(i));
        })));
    full.points.push_back(MakeCostPoint(size, {UpdateBytes(config, true)}));
    key_removal.points.push_back(
        MakeCostPoint(size, {UpdateBytes(config, false)}));
  }
  return {FitLine(known_key), FitLine(unknown_key), FitLine(counted),
          FitLine(full), FitLine(key_removal)};
}

}  // namespace pathcleat
