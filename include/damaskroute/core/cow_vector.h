#ifndef DAMASKROUTE_CORE_COW_VECTOR_H_
#define DAMASKROUTE_CORE_COW_VECTOR_H_

#include <cstddef>
#include <initializer_list>
#include <memory>
#include <utility>
#include <vector>

namespace damaskroute {

/// Vector whose copies share their elements until one of them is modified (copy-on-write). Copying,
/// and comparing copies that share their elements, takes constant time. Different objects may be
/// used on different threads even if they share elements; a single object has the thread safety of
/// a vector.
///
/// A configuration of 36,000 backend servers is installed 0.35 times a second, and each revision
/// changes only a few services, so the others are shared between revisions. benchmark/capacity.cc
/// measures the savings.
///
/// Access through a non-const object copies shared elements, which invalidates earlier iterators
/// and references of that object.
template <typename T>
class CowVector {
 public:
  using value_type = T;
  using iterator = typename std::vector<T>::iterator;
  using const_iterator = typename std::vector<T>::const_iterator;

  CowVector() = default;
  CowVector(std::initializer_list<T> elements) : CowVector(std::vector<T>(elements)) {}
  /// Takes the elements of a vector. Implicit, so that it can be used in place of a vector.
  CowVector(std::vector<T> elements)  // NOLINT(google-explicit-constructor)
      : elements_(std::make_shared<std::vector<T>>(std::move(elements))) {}

  /// All elements, without copying them.
  const std::vector<T>& get() const { return elements_ ? *elements_ : Empty(); }
  operator const std::vector<T>&() const { return get(); }  // NOLINT(google-explicit-constructor)

  /// All elements, for modification. Copies them first if they are shared.
  std::vector<T>& Mutable() {
    if (!elements_) {
      elements_ = std::make_shared<std::vector<T>>();
    } else if (elements_.use_count() > 1) {
      elements_ = std::make_shared<std::vector<T>>(*elements_);
    }
    return *elements_;
  }

  /// Whether both share the same storage, which implies that they are equal.
  bool SharesWith(const CowVector& other) const { return elements_ == other.elements_; }

  bool empty() const { return get().empty(); }
  std::size_t size() const { return get().size(); }
  const T* data() const { return get().data(); }
  const_iterator begin() const { return get().begin(); }
  const_iterator end() const { return get().end(); }
  const T& operator[](std::size_t index) const { return get()[index]; }
  const T& front() const { return get().front(); }
  const T& back() const { return get().back(); }

  iterator begin() { return Mutable().begin(); }
  iterator end() { return Mutable().end(); }
  T& operator[](std::size_t index) { return Mutable()[index]; }
  T& front() { return Mutable().front(); }
  T& back() { return Mutable().back(); }

  void clear() { elements_.reset(); }
  void reserve(std::size_t size) { Mutable().reserve(size); }
  void push_back(T element) { Mutable().push_back(std::move(element)); }
  void pop_back() { Mutable().pop_back(); }
  template <typename... Args>
  T& emplace_back(Args&&... args) {
    return Mutable().emplace_back(std::forward<Args>(args)...);
  }
  iterator insert(const_iterator position, T element) {
    std::ptrdiff_t offset = position - get().begin();
    std::vector<T>& elements = Mutable();
    return elements.insert(elements.begin() + offset, std::move(element));
  }
  iterator erase(const_iterator position) {
    std::ptrdiff_t offset = position - get().begin();
    std::vector<T>& elements = Mutable();
    return elements.erase(elements.begin() + offset);
  }

  friend bool operator==(const CowVector& a, const CowVector& b) {
    return a.SharesWith(b) || a.get() == b.get();
  }

 private:
  static const std::vector<T>& Empty() {
    static const auto* const empty = new std::vector<T>();
    return *empty;
  }

  // Never modified while shared; null if there are no elements.
  std::shared_ptr<std::vector<T>> elements_;
};

/// Removes the elements for which `predicate` is true; returns their number.
template <typename T, typename Predicate>
std::size_t erase_if(CowVector<T>& elements, Predicate predicate) {
  return std::erase_if(elements.Mutable(), predicate);
}

}  // namespace damaskroute

#endif  // DAMASKROUTE_CORE_COW_VECTOR_H_
