// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/idempotency_key_row.hpp"

#include <nlohmann/json.hpp>
#include <string>

#include "property.hpp"

namespace pathcleat {
namespace {

// Guards against a key that ends the process, as its row's name cannot be
// encoded, and against two keys that share a row.
Test(idempotency_key_row, property_any_key_has_a_name_of_its_own) {
  cr_assert(Holds("names", [](const std::string& a, const std::string& b) {
    const std::string name = IdempotencyKeyRowName("s", a);
    RC_ASSERT(nlohmann::json::parse(nlohmann::json(name).dump()) == name);
    RC_ASSERT((a == b) == (name == IdempotencyKeyRowName("s", b)));
  }));
}

// Guards against hosts that do not find the records of an earlier version.
Test(idempotency_key_row, utf8_keys_stand_in_the_name) {
  cr_assert_eq(IdempotencyKeyRowName("s", "p\xC3\xA5-1"), "key/s/p\xC3\xA5-1");
  cr_assert_neq(IdempotencyKeyRowName("s", "p\xE5-1"),
                IdempotencyKeyRowName("s", "p\xE4-1"));
}

}  // namespace
}  // namespace pathcleat
