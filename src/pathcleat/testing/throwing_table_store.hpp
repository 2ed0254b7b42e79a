// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <functional>
#include <stdexcept>
#include <string>
#include <utility>

#include "pathcleat/store/table_store.hpp"

namespace pathcleat {

/// @brief A TableStore that passes calls on to another one, or throws instead
/// for as long as a test asks for it.
class ThrowingTableStore : public TableStore {
 public:
  explicit ThrowingTableStore(TableStore& store) : store_(store) {}

  /// @brief Sets which calls throw, or whose callbacks do; empty: none.
  void ThrowIf(std::function<bool()> calls) { throws_call_ = std::move(calls); }
  void ThrowInCallbackIf(std::function<bool()> callbacks) {
    throws_callback_ = std::move(callbacks);
  }
  int thrown_count() const { return thrown_count_; }

  void Scan(const std::string& from,
            const std::string& until,
            int max_rows,
            std::function<void(TableScanResult)> callback) override {
    MaybeThrow(throws_call_);
    store_.Scan(from, until, max_rows, Wrap(std::move(callback)));
  }
  void Write(const std::string& key,
             std::uint64_t expected_version,
             const std::string& value,
             std::function<void(TableWriteResult)> callback) override {
    MaybeThrow(throws_call_);
    store_.Write(key, expected_version, value, Wrap(std::move(callback)));
  }
  void Overwrite(const std::string& key,
                 const std::string& value,
                 std::function<void(TableWriteResult)> callback) override {
    MaybeThrow(throws_call_);
    store_.Overwrite(key, value, Wrap(std::move(callback)));
  }
  void Delete(const std::string& key,
              std::uint64_t expected_version,
              std::function<void(TableWriteResult)> callback) override {
    MaybeThrow(throws_call_);
    store_.Delete(key, expected_version, Wrap(std::move(callback)));
  }

 private:
  void MaybeThrow(const std::function<bool()>& throws) {
    if (throws && throws()) {
      ++thrown_count_;
      throw std::runtime_error("injected");
    }
  }

  template <class Result>
  std::function<void(Result)> Wrap(std::function<void(Result)> callback) {
    return [this, callback = std::move(callback)](Result result) {
      MaybeThrow(throws_callback_);
      callback(std::move(result));
    };
  }

  TableStore& store_;
  std::function<bool()> throws_call_;
  std::function<bool()> throws_callback_;
  int thrown_count_ = 0;
};

}  // namespace pathcleat
