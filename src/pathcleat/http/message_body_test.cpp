// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/message_body.hpp"

#include "pathcleat/http/http_message.hpp"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "property.hpp"

namespace pathcleat {
namespace {

// Guards against copies of a message that copy its body.
Test(message_body, copies_of_a_message_share_its_body) {
  HttpRequest request{"POST", "/", {}, std::string(100'000, 'b')};
  const HttpRequest copy = request;
  cr_assert_eq(copy.body.view().data(), request.body.view().data());
  request.body = {};
  cr_assert(request.body.empty());
  cr_assert_eq(copy.body.size(), 100'000U);
}

// Guards against a body that outlives its memory lease, or a lease that
// outlives the body.
Test(message_body, lease_ends_with_the_last_copy) {
  const auto budget = std::make_shared<MemoryBudget>(1'000);
  auto lease = std::make_unique<MemoryLease>(budget, MemoryUse::kRequests);
  cr_assert(lease->Resize(4, Time()));
  ByteBuffer bytes;
  cr_assert(bytes.Append("body", 4));
  MessageBody body(std::move(bytes), std::move(lease));
  MessageBody copy = body;
  body = {};
  cr_assert_eq(budget->used(), 4U);
  cr_assert(copy == "body");
  copy = {};
  cr_assert_eq(budget->used(), 0U);
}

// Guards against bytes that are lost or reordered as a buffer grows.
Test(message_body, buffer_holds_what_was_appended) {
  cr_assert(Holds("parts in a row",
                  [](const std::vector<std::string>& parts, bool expects_size) {
                    std::string all;
                    for (const std::string& part : parts) {
                      all += part;
                    }
                    ByteBuffer buffer;
                    if (expects_size) {
                      buffer.ExpectSize(all.size());
                    }
                    for (const std::string& part : parts) {
                      RC_ASSERT(buffer.Append(part.data(), part.size()));
                    }
                    buffer.ShrinkToFit();
                    RC_ASSERT(buffer.view() == all);
                  }));
}

}  // namespace
}  // namespace pathcleat
