// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/accounts/caller_identity.hpp"

#include <string>

#include "property.hpp"

namespace pathcleat {
namespace {

// Two accounts, the first with two keys.
struct Fixture {
  Fixture() {
    hasher.SetSecret("a secret of the fleet");
    Account runners;
    runners.name = "runners";
    runners.key_digests = {hasher.Digest("key-one"), hasher.Digest("key-two")};
    Account clubs;
    clubs.name = "clubs";
    clubs.key_digests = {hasher.Digest("key-three")};
    accounts.SetAccounts(std::make_shared<std::vector<Account>>(
        std::vector<Account>{runners, clubs}));
  }

  CallerIdentity Identify(const HttpHeaders& headers) const {
    return IdentifyCaller(headers, accounts, hasher);
  }
  CallerIdentity IdentifyByValue(const std::string& value) const {
    return Identify({{"Authorization", value}});
  }

  KeyedHasher hasher;
  AccountTable accounts;
};

Test(caller_identity, each_key_identifies_its_account) {
  const Fixture fixture;
  cr_assert_eq(fixture.IdentifyByValue("Bearer key-one").account->name,
               "runners");
  cr_assert_eq(fixture.IdentifyByValue("bearer key-two").account->name,
               "runners");
  cr_assert_eq(fixture.IdentifyByValue("Bearer key-three").account->name,
               "clubs");
}

Test(caller_identity, missing_unknown_and_malformed_keys_are_distinguished) {
  const Fixture fixture;
  cr_assert_eq(fixture.Identify({}).fault, ApiKeyFault::kMissing);
  cr_assert_eq(fixture.IdentifyByValue("Bearer key-four").fault,
               ApiKeyFault::kUnknown);
  for (const std::string& value :
       {std::string(), std::string("Bearer"), std::string("Bearer "),
        std::string("Basic key-one"), std::string("key-one"),
        std::string("Bearer  key-one"), std::string("Bearer key-one x"),
        std::string("Bearer k\xc3\xa9y"),
        "Bearer " + std::string(16'384, 'k')}) {
    const CallerIdentity caller = fixture.IdentifyByValue(value);
    cr_assert_eq(caller.fault, ApiKeyFault::kMalformed, "accepted: %s",
                 value.substr(0, 20).c_str());
    cr_assert_null(caller.account.get());
  }
  const HttpHeaders twice = {{"Authorization", "Bearer key-one"},
                             {"authorization", "Bearer key-one"}};
  cr_assert_eq(fixture.Identify(twice).fault, ApiKeyFault::kRepeated);
}

Test(caller_identity, random_text_is_not_accepted_as_key) {
  const Fixture fixture;
  cr_assert(Holds("unknown or malformed", [&fixture] {
    const auto text = *rc::gen::string<std::string>();
    const CallerIdentity caller = fixture.IdentifyByValue("Bearer " + text);
    RC_ASSERT(caller.account == nullptr);
  }));
}

// Guards against hosts that compute different digests for one key: hosts
// exchange digests, so these must depend on the secret and the whole key only.
Test(keyed_hasher, digest_depends_on_the_secret_and_the_whole_key) {
  KeyedHasher first;
  KeyedHasher same;
  KeyedHasher other;
  first.SetSecret("s");
  same.SetSecret("s");
  other.SetSecret("t");
  cr_assert(first.Digest("key") == same.Digest("key"));
  cr_assert(first.Digest("key") != other.Digest("key"));
  cr_assert(first.Digest("key") != first.Digest("ke"));
  cr_assert(first.Digest("key") != first.Digest("keys"));
}

Test(keyed_hasher, callbacks_run_once_the_secret_is_set) {
  KeyedHasher hasher;
  int called = 0;
  hasher.WhenReady([&called] { ++called; });
  cr_assert_eq(called, 0);
  hasher.SetSecret("s");
  cr_assert_eq(called, 1);
  hasher.WhenReady([&called] { ++called; });
  cr_assert_eq(called, 2);
  hasher.SetSecret("t");
  cr_assert_eq(called, 2);
}

}  // namespace
}  // namespace pathcleat
