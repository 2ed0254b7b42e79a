// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/accounts/caller_identity.hpp"

#include <string>

#include "property.hpp"

namespace pathcleat {
namespace {

// Two accounts, the first with two keys.
struct Fixture {
  Fixture() {
    digester.SetSecret("a secret of the fleet");
    Account runners;
    runners.name = "runners";
    runners.key_digests = {digester.Digest("key-one"),
                           digester.Digest("key-two")};
    Account clubs;
    clubs.name = "clubs";
    clubs.key_digests = {digester.Digest("key-three")};
    accounts.SetAccounts(std::make_shared<std::vector<Account>>(
        std::vector<Account>{runners, clubs}));
  }

  CallerIdentity Identify(const HttpHeaders& headers) const {
    return IdentifyCaller(headers, accounts, digester);
  }
  CallerIdentity With(const std::string& value) const {
    return Identify({{"Authorization", value}});
  }

  KeyedHasher digester;
  AccountTable accounts;
};

Test(caller_identity, each_key_names_its_account) {
  const Fixture fixture;
  cr_assert_eq(fixture.With("Bearer key-one").account->name, "runners");
  cr_assert_eq(fixture.With("bearer key-two").account->name, "runners");
  cr_assert_eq(fixture.With("Bearer key-three").account->name, "clubs");
}

Test(caller_identity, what_is_no_key_is_told_apart) {
  const Fixture fixture;
  cr_assert_eq(fixture.Identify({}).fault, ApiKeyFault::kMissing);
  cr_assert_eq(fixture.With("Bearer key-four").fault, ApiKeyFault::kUnknown);
  for (const std::string& value :
       {std::string(), std::string("Bearer"), std::string("Bearer "),
        std::string("Basic key-one"), std::string("key-one"),
        std::string("Bearer  key-one"), std::string("Bearer key-one x"),
        std::string("Bearer k\xc3\xa9y"),
        "Bearer " + std::string(16'384, 'k')}) {
    const CallerIdentity caller = fixture.With(value);
    cr_assert_eq(caller.fault, ApiKeyFault::kMalformed, "taken: %s",
                 value.substr(0, 20).c_str());
    cr_assert_null(caller.account.get());
  }
  const HttpHeaders twice = {{"Authorization", "Bearer key-one"},
                             {"authorization", "Bearer key-one"}};
  cr_assert_eq(fixture.Identify(twice).fault, ApiKeyFault::kRepeated);
}

Test(caller_identity, no_other_text_is_taken_for_a_key) {
  const Fixture fixture;
  cr_assert(Holds("unknown or malformed", [&fixture] {
    const auto text = *rc::gen::string<std::string>();
    const CallerIdentity caller = fixture.With("Bearer " + text);
    RC_ASSERT(caller.account == nullptr);
  }));
}

// Hosts tell each other digests: they must agree, and only by the secret.
Test(key_digest, digests_go_by_the_secret_and_the_whole_key) {
  KeyedHasher one;
  KeyedHasher same;
  KeyedHasher other;
  one.SetSecret("s");
  same.SetSecret("s");
  other.SetSecret("t");
  cr_assert(one.Digest("key") == same.Digest("key"));
  cr_assert(one.Digest("key") != other.Digest("key"));
  cr_assert(one.Digest("key") != one.Digest("ke"));
  cr_assert(one.Digest("key") != one.Digest("keys"));
}

Test(key_digest, who_waits_is_called_once_the_secret_is_known) {
  KeyedHasher digester;
  int called = 0;
  digester.WhenReady([&called] { ++called; });
  cr_assert_eq(called, 0);
  digester.SetSecret("s");
  cr_assert_eq(called, 1);
  digester.WhenReady([&called] { ++called; });
  cr_assert_eq(called, 2);
  digester.SetSecret("t");
  cr_assert_eq(called, 2);
}

}  // namespace
}  // namespace pathcleat
