#include "ibismux/release/candidate.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

#include "ibismux/release/validator.h"

namespace ibismux::release {
namespace {

// How many of the objects that were left out are tried again one by one; the
// rest waits for the next release. Each trial validates everything.
constexpr std::size_t kMostRetried = 64;
constexpr std::size_t kMostReasonBytes = 500;
// Who wrote an object that doesn't say so.
constexpr const char* kDirectWriter = "platform";

/// A change that is newer than what is in force.
struct Pending {
  store::Version version = 0;  ///< 0: the object is gone from the store.
  std::shared_ptr<const ObjectSpec> spec;  ///< Null: a deletion.
  std::string change_id;
  std::string who;
  std::int64_t when_ms = 0;
  std::string reason;  ///< Of the last violation that it had a part in.

  /// Order of writing. A removal without a trace is taken for the latest.
  [[nodiscard]] store::Version order() const noexcept {
    return this->version != 0 ? this->version
                              : std::numeric_limits<store::Version>::max();
  }
};

using PendingSet = std::map<ObjectKey, Pending>;

/// One decision, step by step.
class Decision {
 public:
  Decision(const ReleaseContents& base,
           const ObjectView& view,
           std::int64_t now_ms)
      : base(base), view(view), now_ms(now_ms) {
    this->result.objects = base.objects;
  }

  Candidate run() {
    this->collect();
    this->defer();
    for (const auto& [key, change] : this->pending) {
      this->apply(key, change);
    }
    this->leave_out_invalid();
    this->retry();
    this->conclude();
    return std::move(this->result);
  }

 private:
  [[nodiscard]] Generation next() const noexcept {
    return this->base.head.generation + 1;
  }

  [[nodiscard]] const AcceptedObject* in_force(const ObjectKey& key) const {
    const auto found = this->base.objects.find(key);
    return found == this->base.objects.end() ? nullptr : &found->second;
  }

  /// Walks what is written and what is in force side by side, by their keys.
  void collect() {
    auto accepted = this->base.objects.begin();
    const auto end = this->base.objects.end();
    for (const auto& [key, observed] : this->view.objects) {
      while (accepted != end && accepted->first < key) {
        this->collect_removal(accepted->first, accepted->second);
        ++accepted;
      }
      const bool is_in_force = accepted != end && accepted->first == key;
      if (!is_in_force || observed.version > accepted->second.version) {
        this->collect_one(key, observed, is_in_force);
      }
      accepted = is_in_force ? std::next(accepted) : accepted;
    }
    for (; accepted != end; ++accepted) {
      this->collect_removal(accepted->first, accepted->second);
    }
  }

  /// The object was deleted straight from the platform, without a tombstone.
  void collect_removal(const ObjectKey& key, const AcceptedObject& accepted) {
    this->pending[key] =
        Pending{.change_id = to_string(key) + "@removed-after-" +
                             std::to_string(accepted.version),
                .who = kDirectWriter,
                .when_ms = this->now_ms};
  }

  void collect_one(const ObjectKey& key,
                   const ObservedObject& observed,
                   bool is_in_force) {
    if (!observed.record) {
      this->reject(key, observed.version, direct_id(key, observed.version),
                   observed.record.error().message);
      return;
    }
    const ObjectRecord& record = *observed.record;
    if (record.deleted && !is_in_force) {
      return;
    }
    const bool tells = !record.change_id.empty();
    this->pending[key] =
        Pending{.version = observed.version,
                .spec = record.deleted
                            ? nullptr
                            : std::make_shared<const ObjectSpec>(record.spec),
                .change_id =
                    tells ? record.change_id : direct_id(key, observed.version),
                .who = record.who.empty() ? kDirectWriter : record.who,
                .when_ms = record.at_ms != 0 ? record.at_ms : this->now_ms};
  }

  /// Leaves the changes past the most that one release takes for a later one.
  /// Those rejected before go last, so that they can't hold up the others.
  void defer() {
    if (this->pending.size() <= kMostChangesAtOnce) {
      return;
    }
    std::vector<std::tuple<bool, std::size_t, store::Version, ObjectKey>> order;
    for (const auto& [key, change] : this->pending) {
      order.emplace_back(this->base.rejections.contains(key),
                         change.spec == nullptr
                             ? kObjectKinds - layer_of(key.kind)
                             : layer_of(key.kind),
                         change.order(), key);
    }
    std::sort(order.begin(), order.end());
    for (std::size_t i = kMostChangesAtOnce; i < order.size(); ++i) {
      const ObjectKey& key = std::get<ObjectKey>(order[i]);
      this->pending.erase(key);
      const auto before = this->base.rejections.find(key);
      if (before != this->base.rejections.end()) {
        this->result.rejections.insert(*before);
      }
    }
  }

  static std::string direct_id(const ObjectKey& key, store::Version version) {
    return to_string(key) + "@" + std::to_string(version);
  }

  void apply(const ObjectKey& key, const Pending& change) {
    if (change.spec == nullptr) {
      this->result.objects.erase(key);
      return;
    }
    this->result.objects[key] = AcceptedObject{.version = change.version,
                                               .generation = this->next(),
                                               .change_id = change.change_id,
                                               .spec = change.spec};
  }

  void revert(const ObjectKey& key) {
    if (const AcceptedObject* accepted = this->in_force(key)) {
      this->result.objects[key] = *accepted;
    } else {
      this->result.objects.erase(key);
    }
  }

  /// Each pass leaves out at least one pending change; without any of them the
  /// base remains, which is valid.
  void leave_out_invalid() {
    for (;;) {
      const std::vector<Violation> violations = validate(this->result.objects);
      if (violations.empty()) {
        return;
      }
      std::set<ObjectKey> guilty;
      for (const Violation& violation : violations) {
        if (const auto key = this->latest(violation)) {
          this->pending.at(*key).reason = violation.message;
          guilty.insert(*key);
        }
      }
      if (guilty.empty()) {
        this->leave_out_all(violations.front());
        return;
      }
      for (const ObjectKey& key : guilty) {
        this->revert(key);
        this->left_out.insert(key);
      }
    }
  }

  /// The latest write among the pending changes that `violation` involves.
  [[nodiscard]] std::optional<ObjectKey> latest(
      const Violation& violation) const {
    std::optional<ObjectKey> found;
    store::Version order = 0;
    for (const ObjectKey& key : violation.involved) {
      const auto change = this->pending.find(key);
      if (change != this->pending.end() && !this->left_out.contains(key) &&
          change->second.order() > order) {
        found = key;
        order = change->second.order();
      }
    }
    return found;
  }

  void leave_out_all(const Violation& violation) {
    for (auto& [key, change] : this->pending) {
      this->revert(key);
      this->left_out.insert(key);
      change.reason = violation.message;
    }
  }

  void retry() {
    std::vector<std::pair<store::Version, ObjectKey>> order;
    for (const ObjectKey& key : this->left_out) {
      order.emplace_back(this->pending.at(key).order(), key);
    }
    std::sort(order.begin(), order.end());
    order.resize(std::min(order.size(), kMostRetried));
    for (const auto& [version, key] : order) {
      Pending& change = this->pending.at(key);
      this->apply(key, change);
      const std::vector<Violation> violations = validate(this->result.objects);
      if (violations.empty()) {
        this->left_out.erase(key);
      } else {
        change.reason = violations.front().message;
        this->revert(key);
      }
    }
  }

  void reject(const ObjectKey& key,
              store::Version version,
              const std::string& change_id,
              const std::string& reason) {
    Rejection rejection{.version = version,
                        .generation = this->next(),
                        .change_id = change_id,
                        .reason = reason.substr(0, kMostReasonBytes)};
    const auto before = this->base.rejections.find(key);
    if (before != this->base.rejections.end() &&
        before->second.version == version &&
        before->second.reason == rejection.reason) {
      rejection.generation = before->second.generation;
    }
    this->result.rejections[key] = std::move(rejection);
  }

  void conclude() {
    std::uint64_t sequence = this->base.head.change_count;
    for (const auto& [key, change] : this->pending) {
      if (this->left_out.contains(key)) {
        this->reject(key, change.version, change.change_id, change.reason);
        continue;
      }
      const AcceptedObject* before = this->in_force(key);
      this->result.changes.push_back(
          {.sequence = ++sequence,
           .change_id = change.change_id,
           .object = to_string(key),
           .from_version = before == nullptr ? 0 : before->version,
           .to_version = change.spec == nullptr ? 0 : change.version,
           .who = change.who,
           .when_ms = change.when_ms,
           .generation = this->next()});
    }
    this->result.differs = !this->result.changes.empty() ||
                           this->result.rejections != this->base.rejections;
  }

  const ReleaseContents& base;
  const ObjectView& view;
  const std::int64_t now_ms;
  PendingSet pending;
  std::set<ObjectKey> left_out;
  Candidate result;
};

}  // namespace

Candidate decide(const ReleaseContents& base,
                 const ObjectView& view,
                 std::int64_t now_ms) {
  return Decision(base, view, now_ms).run();
}

}  // namespace ibismux::release
