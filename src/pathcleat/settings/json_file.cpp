// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "json_file.hpp"

#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <utility>

namespace pathcleat {
namespace {

using nlohmann::json;

// Levels of lists and objects in a file. Settings have five; the record of
// lines takes memory by the square of the depth, and printing a value takes
// stack.
constexpr std::size_t kMaxDepth = 32;

// Input iterator that counts the line ends before its position.
class LineCountingIterator {
 public:
  using difference_type = std::ptrdiff_t;
  using value_type = char;
  using pointer = const char*;
  using reference = const char&;
  using iterator_category = std::input_iterator_tag;

  LineCountingIterator(const char* position, int* line)
      : position_(position), line_(line) {}

  reference operator*() const { return *position_; }
  LineCountingIterator& operator++() {
    if (*position_ == '\n') {
      ++*line_;
    }
    ++position_;
    return *this;
  }
  bool operator==(const LineCountingIterator& other) const {
    return position_ == other.position_;
  }
  bool operator!=(const LineCountingIterator& other) const {
    return position_ != other.position_;
  }

 private:
  const char* position_;
  int* line_;
};

// Records the line of every value and reports duplicate keys in an object.
class LineRecorder : public nlohmann::json_sax<json> {
 public:
  LineRecorder(const int* line,
               JsonFile* file,
               std::vector<SettingsFault>* faults)
      : line_(line), file_(file), faults_(faults) {}

  bool null() override { return Value(); }
  bool boolean(bool) override { return Value(); }
  bool number_integer(number_integer_t) override { return Value(); }
  bool number_unsigned(number_unsigned_t) override { return Value(); }
  bool number_float(number_float_t, const string_t&) override {
    return Value();
  }
  bool string(string_t&) override { return Value(); }
  bool binary(binary_t&) override { return Value(); }
  bool start_object(std::size_t) override { return Open(false); }
  bool start_array(std::size_t) override { return Open(true); }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }

  bool key(string_t& name) override {
    Frame& frame = frames_.back();
    if (!frame.keys.insert(name).second) {
      const std::string pointer = frame.pointer + "/" + name;
      faults_->push_back({file_->path, *line_, pointer, "duplicate key"});
    }
    frame.next_key = name;
    return true;
  }

  bool parse_error(std::size_t,
                   const std::string& token,
                   const nlohmann::detail::exception& error) override {
    faults_->push_back({file_->path, *line_, "",
                        "not JSON near '" + token + "': " + error.what()});
    return false;
  }

 private:
  struct Frame {
    std::string pointer;
    bool is_array = false;
    std::size_t next_index = 0;
    std::string next_key;
    std::set<std::string> keys;
  };

  std::string NextPointer() {
    if (frames_.empty()) {
      return "";
    }
    Frame& frame = frames_.back();
    if (frame.is_array) {
      return frame.pointer + "/" + std::to_string(frame.next_index++);
    }
    return frame.pointer + "/" + frame.next_key;
  }

  bool Value() {
    file_->lines.emplace(NextPointer(), *line_);
    return true;
  }

  bool Open(bool is_array) {
    if (frames_.size() == kMaxDepth) {
      faults_->push_back({file_->path, *line_, "",
                          "lists and objects are nested deeper than " +
                              std::to_string(kMaxDepth) + " levels"});
      return false;
    }
    Frame frame;
    frame.pointer = NextPointer();
    frame.is_array = is_array;
    file_->lines.emplace(frame.pointer, *line_);
    frames_.push_back(std::move(frame));
    return true;
  }

  bool Close() {
    frames_.pop_back();
    return true;
  }

  const int* line_;
  JsonFile* file_;
  std::vector<SettingsFault>* faults_;
  std::vector<Frame> frames_;
};

}  // namespace

std::string ToString(const SettingsFault& fault) {
  const std::string key = fault.key.empty() ? "" : fault.key + ": ";
  return fault.file + ":" + std::to_string(fault.line) + ": " + key +
         fault.text;
}

int JsonFile::LineOf(const std::string& pointer) const {
  const auto found = lines.find(pointer);
  return found == lines.end() ? 0 : found->second;
}

JsonFile ReadJsonFile(const std::string& path,
                      std::vector<SettingsFault>& faults) {
  JsonFile file;
  file.path = path;
  std::ifstream stream(path);
  if (!stream) {
    faults.push_back({path, 0, "", "file cannot be read"});
    return file;
  }
  std::ostringstream text_stream;
  text_stream << stream.rdbuf();
  const std::string text = text_stream.str();
  int line = 1;
  LineRecorder recorder(&line, &file, &faults);
  const LineCountingIterator begin(text.data(), &line);
  const LineCountingIterator end(text.data() + text.size(), &line);
  const bool well_formed =
      json::sax_parse(begin, end, &recorder,
                      nlohmann::detail::input_format_t::json, true, true);
  if (well_formed) {
    file.root = json::parse(text, nullptr, true, true);
  }
  return file;
}

}  // namespace pathcleat
