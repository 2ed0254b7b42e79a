// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "pathcleat/core/memory_budget.hpp"
#include "pathcleat/http/byte_buffer.hpp"

namespace pathcleat {

/// @brief The body of a message: bytes that never change. Copies share them, so
/// that a body is held once however often its message is copied.
/// @ingroup http
class MessageBody {
 public:
  MessageBody() = default;

  // Implicit, as a body is given as text nearly everywhere.
  MessageBody(std::string text);  // NOLINT(google-explicit-constructor)
  MessageBody(const char* text)   // NOLINT(google-explicit-constructor)
      : MessageBody(std::string(text)) {}

  /// @param lease memory of the bytes; it is released with them. May be null.
  MessageBody(ByteBuffer bytes, std::unique_ptr<MemoryLease> lease);

  std::string_view view() const { return view_; }
  operator std::string_view() const {  // NOLINT(google-explicit-constructor)
    return view_;
  }
  std::string str() const { return std::string(view_); }
  std::size_t size() const { return view_.size(); }
  bool empty() const { return view_.empty(); }

  /// @brief Whether the bytes are part of a memory budget.
  bool IsLeased() const { return leased_; }

  /// @brief Whether another message has the same bytes.
  bool IsShared() const { return owner_.use_count() > 1; }

  friend bool operator==(const MessageBody& a, const MessageBody& b) {
    return a.view_ == b.view_;
  }
  friend bool operator==(const MessageBody& a, const char* b) {
    return a.view_ == b;
  }
  friend bool operator==(const MessageBody& a, const std::string& b) {
    return a.view_ == b;
  }

 private:
  std::shared_ptr<const void> owner_;
  std::string_view view_;
  bool leased_ = false;
};

}  // namespace pathcleat
