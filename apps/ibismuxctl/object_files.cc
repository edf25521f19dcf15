#include "object_files.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <filesystem>
#include <map>
#include <utility>

#include "ibismux/jsonc/document.h"

namespace ibismux::ctl {
namespace {

namespace json = boost::json;
namespace fs = std::filesystem;

/// Where an object stood, to name both places where one is given twice.
using Places = std::map<release::ObjectKey, std::string>;

tl::unexpected<Error> refuse(const jsonc::Document& document,
                             const std::string& path,
                             const std::string& message) {
  return fail(ErrorKind::kInvalidRequest, document.locate(path, message));
}

Result<std::vector<std::string>> files_of(const std::string& path) {
  std::error_code error;
  if (!fs::is_directory(path, error)) {
    return std::vector<std::string>{path};
  }
  std::vector<std::string> files;
  for (const fs::directory_entry& entry : fs::directory_iterator(path, error)) {
    if (entry.path().extension() == ".json") {
      files.push_back(entry.path().string());
    }
  }
  if (error || files.empty()) {
    return fail(ErrorKind::kInvalidRequest,
                path + ": " + (error ? error.message() : "no .json files"));
  }
  std::sort(files.begin(), files.end());
  return files;
}

/// One object of a document; `path` leads to it, and is empty for the root.
Result<release::ObjectRecord> read_object(const jsonc::Document& document,
                                          const json::value& value,
                                          const std::string& path) {
  if (!value.is_object()) {
    return refuse(document, path, "an object must be a JSON object");
  }
  std::string field;
  Result<release::ObjectRecord> record =
      release::parse_object(value.get_object(), &field);
  if (!record) {
    return refuse(document, path.empty() ? field : path + "." + field,
                  record.error().message);
  }
  if (record->deleted || !record->change_id.empty()) {
    return refuse(document, path, "deleted and meta must be absent in a file");
  }
  return record;
}

Result<void> add(const jsonc::Document& document,
                 const json::value& value,
                 const std::string& path,
                 Places& places,
                 std::vector<release::ObjectRecord>& records) {
  Result<release::ObjectRecord> record = read_object(document, value, path);
  if (!record) {
    return tl::unexpected<Error>(record.error());
  }
  const auto [place, fresh] =
      places.emplace(record->key, document.locate(path, "first given here"));
  if (!fresh) {
    return refuse(document, path,
                  to_string(record->key) + " is given twice; " + place->second);
  }
  records.push_back(std::move(*record));
  return {};
}

Result<void> add_all(const jsonc::Document& document,
                     const json::array& items,
                     const std::string& prefix,
                     Places& places,
                     std::vector<release::ObjectRecord>& records) {
  for (std::size_t i = 0; i < items.size(); ++i) {
    Result<void> added =
        add(document, items[i], prefix + std::to_string(i), places, records);
    if (!added) {
      return added;
    }
  }
  return {};
}

Result<void> add_document(const jsonc::Document& document,
                          Places& places,
                          std::vector<release::ObjectRecord>& records) {
  if (document.root.is_array()) {
    return add_all(document, document.root.get_array(), "", places, records);
  }
  const json::value* items =
      document.root.is_object()
          ? document.root.get_object().if_contains("objects")
          : nullptr;
  if (items == nullptr) {
    return add(document, document.root, "", places, records);
  }
  if (!items->is_array() || document.root.get_object().size() != 1) {
    return refuse(document, "objects",
                  "objects must be an array, and alone in its file");
  }
  return add_all(document, items->get_array(), "objects.", places, records);
}

}  // namespace

Result<std::vector<release::ObjectRecord>> load_objects(
    const std::vector<std::string>& paths) {
  Places places;
  std::vector<release::ObjectRecord> records;
  for (const std::string& path : paths) {
    const Result<std::vector<std::string>> files = files_of(path);
    if (!files) {
      return tl::unexpected<Error>(files.error());
    }
    for (const std::string& file : *files) {
      const Result<jsonc::Document> document = jsonc::parse_file(file);
      if (!document) {
        return tl::unexpected<Error>(document.error());
      }
      const Result<void> added = add_document(*document, places, records);
      if (!added) {
        return tl::unexpected<Error>(added.error());
      }
    }
  }
  std::stable_sort(records.begin(), records.end(),
                   [](const auto& a, const auto& b) {
                     return layer_of(a.key.kind) < layer_of(b.key.kind);
                   });
  return records;
}

}  // namespace ibismux::ctl
