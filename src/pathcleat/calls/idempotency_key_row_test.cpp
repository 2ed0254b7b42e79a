// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/idempotency_key_row.hpp"

#include <nlohmann/json.hpp>
#include <string>

#include "mutated_bytes.hpp"
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

// Guards against a row of another writer whose numbers are cast beyond the
// range of their types, which is undefined.
Test(idempotency_key_row, numbers_out_of_range_are_rejected) {
  IdempotencyKeyRow row;
  row.answer.status = 200;
  const nlohmann::json valid = nlohmann::json::parse(ToJson(row));
  cr_assert(IdempotencyKeyRowFromJson(valid.dump()).has_value());
  for (const char* field : {"status", "ends", "fingerprint"}) {
    for (const char* bad : {"-1", "1e300", "0.5", "\"1\"", "null", "[]"}) {
      nlohmann::json odd = valid;
      odd[field] = nlohmann::json::parse(bad);
      cr_assert_not(IdempotencyKeyRowFromJson(odd.dump()).has_value(), "%s: %s",
                    field, bad);
    }
  }
  nlohmann::json odd = valid;
  odd["status"] = 1'000;
  cr_assert_not(IdempotencyKeyRowFromJson(odd.dump()).has_value());
}

// Guards against a row of another writer that ends the process.
Test(idempotency_key_row, mutated_rows_are_read_or_rejected) {
  IdempotencyKeyRow row;
  row.token = "t";
  row.answer = TextResponse(200, "body");
  const std::string encoded = ToJson(row);
  cr_assert(Holds(
      "a row that is read has a status of three digits at most",
      [&encoded] {
        const auto read = IdempotencyKeyRowFromJson(MutatedBytes(encoded));
        if (read) {
          RC_ASSERT(read->answer.status >= 0);
          RC_ASSERT(read->answer.status <= 999);
        }
      },
      2'000));
}

}  // namespace
}  // namespace pathcleat
