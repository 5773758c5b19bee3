# Compiles Catch2's main function once for all test programs.
if(BILBERRY_TESTS)
  add_library(bilberry_test_main OBJECT ${CMAKE_SOURCE_DIR}/tests/support/testmain.cpp)
  target_link_libraries(bilberry_test_main PUBLIC Catch2::Catch2)
endif()

# Adds a package: a static library from src/, its public headers and a test program. The package is
# in packages/, or with ROOT in the root directory of the repository.
function(bilberry_package NAME)
  cmake_parse_arguments(ARG "ROOT" "" "LIBRARIES;PRIVATE_LIBRARIES" ${ARGN})
  set(DIR ${CMAKE_SOURCE_DIR}/packages/${NAME})
  if(ARG_ROOT)
    set(DIR ${CMAKE_SOURCE_DIR}/${NAME})
  endif()
  file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS ${DIR}/src/*.cpp)
  add_library(bilberry_${NAME} STATIC ${SOURCES})
  target_include_directories(bilberry_${NAME} PUBLIC ${DIR}/include PRIVATE ${DIR}/src)
  target_link_libraries(bilberry_${NAME} PUBLIC ${ARG_LIBRARIES} PRIVATE ${ARG_PRIVATE_LIBRARIES})
  bilberry_tests(${NAME} ${DIR})
endfunction()

# Adds the test program of a package if the package has tests, with one ctest entry for each file, so
# that the time limit holds for a file and not for all of them.
function(bilberry_tests NAME DIR)
  file(GLOB TESTS CONFIGURE_DEPENDS ${DIR}/tests/*.cpp)
  if(TESTS AND BILBERRY_TESTS)
    add_executable(${NAME}_tests ${TESTS})
    target_include_directories(${NAME}_tests PRIVATE ${DIR}/src ${CMAKE_SOURCE_DIR}/tests)
    target_link_libraries(${NAME}_tests PRIVATE bilberry_${NAME} bilberry_testsupport
                                                bilberry_test_main rapidcheck)
    target_compile_definitions(${NAME}_tests PRIVATE BILBERRY_DOCS="${CMAKE_SOURCE_DIR}/docs")
    file(GLOB TEST_FILES CONFIGURE_DEPENDS ${DIR}/tests/*_test.cpp)
    foreach(TEST_FILE ${TEST_FILES})
      get_filename_component(TEST_NAME ${TEST_FILE} NAME_WE)
      add_test(NAME ${NAME}.${TEST_NAME}
               COMMAND ${NAME}_tests --filenames-as-tags --warn NoTests "[#${TEST_NAME}]")
      set_tests_properties(${NAME}.${TEST_NAME} PROPERTIES TIMEOUT 300)
    endforeach()
  endif()
endfunction()

# Adds a deployed program. All its sources except main.cpp form a library that tests can link.
function(bilberry_program PROGRAM)
  cmake_parse_arguments(ARG "" "PACKAGE" "LIBRARIES" ${ARGN})
  set(DIR ${CMAKE_SOURCE_DIR}/packages/${ARG_PACKAGE})
  file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS ${DIR}/src/*.cpp)
  list(REMOVE_ITEM SOURCES ${DIR}/src/main.cpp)
  add_library(bilberry_${ARG_PACKAGE} STATIC ${SOURCES})
  target_include_directories(bilberry_${ARG_PACKAGE} PUBLIC ${DIR}/src ${DIR}/include)
  target_link_libraries(bilberry_${ARG_PACKAGE} PUBLIC ${ARG_LIBRARIES})
  add_executable(${PROGRAM} ${DIR}/src/main.cpp)
  target_link_libraries(${PROGRAM} PRIVATE bilberry_${ARG_PACKAGE})
  bilberry_tests(${ARG_PACKAGE} ${DIR})
endfunction()
