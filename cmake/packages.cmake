# Third-party libraries, compiler options, and the functions that declare a
# package of the product and its tests.

# Links what has a static form statically. A daemon that is started again while
# callers wait serves them sooner: on a quarter of a core the dynamic linker takes
# some 0.2 s for the libraries that libthrift brings along.
option(IBISMUX_STATIC_LIBRARIES "Prefer static libraries" OFF)
find_package(PkgConfig REQUIRED)
# Always shared: its static form needs a libunwind that can't be linked into a
# position-independent program.
pkg_check_modules(GLOG REQUIRED IMPORTED_TARGET libglog)
if(IBISMUX_STATIC_LIBRARIES)
  set(Boost_USE_STATIC_LIBS ON)
  set(CMAKE_FIND_LIBRARY_SUFFIXES ".a;.so")
endif()

find_package(Boost 1.81 REQUIRED COMPONENTS program_options json url)
find_package(Threads REQUIRED)
pkg_check_modules(THRIFT REQUIRED IMPORTED_TARGET thrift)
pkg_check_modules(CRITERION REQUIRED IMPORTED_TARGET criterion)
pkg_check_modules(URCU REQUIRED IMPORTED_TARGET liburcu-bp)
pkg_check_modules(SODIUM REQUIRED IMPORTED_TARGET libsodium)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
find_package(prometheus-cpp CONFIG REQUIRED)

add_library(ibismux_options INTERFACE)
target_compile_options(ibismux_options INTERFACE -Wall -Wextra -Werror
  # GCC 12 reports these for Boost and coroutine frames, where they are false.
  -Wno-maybe-uninitialized -Wno-restrict -Wno-stringop-overflow
  -Wno-array-bounds -Wno-missing-field-initializers -Wno-mismatched-new-delete)
target_compile_definitions(ibismux_options INTERFACE
  BOOST_ASIO_NO_DEPRECATED BOOST_ASIO_DISABLE_BOOST_COROUTINE)
target_include_directories(ibismux_options INTERFACE ${PROJECT_SOURCE_DIR})
target_link_libraries(ibismux_options INTERFACE
  Boost::headers Boost::json Boost::url Threads::Threads)
if(IBISMUX_SANITIZE STREQUAL "address")
  target_compile_options(ibismux_options INTERFACE
    -fsanitize=address,undefined -fno-sanitize-recover=undefined)
  target_link_options(ibismux_options INTERFACE -fsanitize=address,undefined)
elseif(IBISMUX_SANITIZE STREQUAL "thread")
  target_compile_options(ibismux_options INTERFACE -fsanitize=thread -Wno-tsan)
  target_link_options(ibismux_options INTERFACE -fsanitize=thread)
endif()

# ibismux_package(NAME DEPS...): the library ibismux_NAME out of every .cc file
# of the calling folder.
function(ibismux_package name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  if(sources)
    add_library(ibismux_${name} STATIC ${sources})
    target_link_libraries(ibismux_${name} PUBLIC ibismux_options ${ARGN})
  else()
    add_library(ibismux_${name} INTERFACE)
    target_link_libraries(ibismux_${name} INTERFACE ibismux_options ${ARGN})
  endif()
endfunction()

# ibismux_test(NAME DEPS...): the Criterion program test_NAME out of every .cc
# file of the calling folder, run by CTest as one test.
function(ibismux_test name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  if(NOT sources)
    return()
  endif()
  add_executable(test_${name} ${sources})
  target_link_libraries(test_${name} PRIVATE
    ibismux_options ${ARGN} PkgConfig::CRITERION)
  add_test(NAME ${name} COMMAND test_${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()

# ibismux_program(NAME FILE DEPS...): one binary.
function(ibismux_program name file)
  add_executable(${name} ${file})
  target_link_libraries(${name} PRIVATE ibismux_options ${ARGN}
    Boost::program_options)
endfunction()

# Adds every folder below the calling one that holds a CMakeLists.txt.
function(ibismux_add_folders)
  file(GLOB lists CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*/CMakeLists.txt)
  foreach(list ${lists})
    get_filename_component(folder ${list} DIRECTORY)
    add_subdirectory(${folder})
  endforeach()
endfunction()
