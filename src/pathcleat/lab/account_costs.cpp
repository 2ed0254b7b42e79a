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

std::string KeyOf(std::size_t account, int which) {
  return "key-of-twenty-bytes-" + std::to_string(account) + "-" +
         std::to_string(which);
}

RoutingConfig ConfigOf(int accounts, const KeyedHasher& digester) {
  RoutingConfig config;
  config.version = 1;
  for (int i = 0; i < accounts; ++i) {
    Account account;
    account.name = "account-" + std::to_string(i);
    account.key_digests = {digester.Digest(KeyOf(i, 0)),
                           digester.Digest(KeyOf(i, 1))};
    account.limit = {100, 100};
    config.accounts.push_back(account);
  }
  return config;
}

CostCurve SlopeOf(const char* name) {
  CostCurve slope;
  slope.name = name;
  slope.size_unit = "accounts with two keys";
  return slope;
}

// Bytes that another host is told: the whole, or that one key was taken.
double BytesTold(const RoutingConfig& config, bool whole) {
  ConfigHistory history;
  history.Append(config);
  RoutingConfig changed = config;
  changed.version = 2;
  changed.accounts.front().key_digests.pop_back();
  history.Append(changed);
  return static_cast<double>(
      history.EncodedUpdateSince(changed, whole ? 0 : 1).size());
}

}  // namespace

std::vector<CostCurve> MeasureAccountCosts() {
  CostCurve known = SlopeOf("account of a key found, us");
  CostCurve unknown = SlopeOf("key that nobody holds looked up, us");
  CostCurve taken = SlopeOf("request counted in its limit, us");
  CostCurve whole = SlopeOf("configuration told whole, bytes");
  CostCurve change = SlopeOf("one key taken away told, bytes");
  KeyedHasher digester;
  digester.SetSecret("a secret");
  for (const int size : kSizes) {
    const RoutingConfig config = ConfigOf(size, digester);
    AccountTable table;
    table.SetAccounts(std::make_shared<std::vector<Account>>(config.accounts));
    std::vector<HttpHeaders> callers;
    std::vector<HttpHeaders> strangers;
    for (int i = 0; i < size; ++i) {
      callers.push_back(
          {{"Host", "test"}, {"Authorization", "Bearer " + KeyOf(i, i % 2)}});
      strangers.push_back(
          {{"Host", "test"}, {"Authorization", "Bearer " + KeyOf(i, 7)}});
    }
    const auto time = [&](const std::vector<HttpHeaders>& requests) {
      return MakeCostPoint(size, TimeCalls(kCalls, [&](std::size_t i) {
                             IdentifyCaller(requests[i % requests.size()],
                                            table, digester);
                           }));
    };
    known.points.push_back(time(callers));
    unknown.points.push_back(time(strangers));
    QuotaControl quotas("domain", "host", 1);
    const Time now = BootClock::now();
    taken.points.push_back(MakeCostPoint(
        size, TimeCalls(kCalls, [&](std::size_t i) {
          quotas.Admit(config.accounts[i % size], now + Duration(i));
        })));
    whole.points.push_back(MakeCostPoint(size, {BytesTold(config, true)}));
    change.points.push_back(MakeCostPoint(size, {BytesTold(config, false)}));
  }
  return {FitLine(known), FitLine(unknown), FitLine(taken), FitLine(whole),
          FitLine(change)};
}

}  // namespace pathcleat
