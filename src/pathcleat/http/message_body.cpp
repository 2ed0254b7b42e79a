// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/message_body.hpp"

#include <utility>

namespace pathcleat {
namespace {

struct LeasedBytes {
  ByteBuffer bytes;
  std::unique_ptr<MemoryLease> lease;
};

}  // namespace

MessageBody::MessageBody(std::string text) {
  if (text.empty()) {
    return;
  }
  const auto owner = std::make_shared<const std::string>(std::move(text));
  view_ = *owner;
  owner_ = owner;
}

MessageBody::MessageBody(ByteBuffer bytes, std::unique_ptr<MemoryLease> lease) {
  if (bytes.size() == 0) {
    return;
  }
  leased_ = lease != nullptr;
  const auto owner = std::make_shared<const LeasedBytes>(
      LeasedBytes{std::move(bytes), std::move(lease)});
  view_ = owner->bytes.view();
  owner_ = owner;
}

}  // namespace pathcleat
